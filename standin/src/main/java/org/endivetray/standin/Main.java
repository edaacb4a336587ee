package org.endivetray.standin;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.endivetray.Json;
import org.endivetray.ListedHost;
import org.endivetray.MinionEndpoint;

/**
 * Starts a stand-in or a load test, or prints a result.
 *
 * <p>The commands are {@code platform}, {@code minions}, {@code relay}, {@code callers}, {@code
 * config}, {@code summary} and {@code site}.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class Main {
    private Main() {}

    /**
     * Runs a command.
     *
     * @param args name of the command and its options, not null
     */
    public static void main(String[] args) throws Exception {
        System.setProperty(
                "vertx.logger-delegate-factory-class-name",
                "io.vertx.core.logging.JULLogDelegateFactory");
        CommandLine line = parse(args);
        Site site = Site.ofName(line.getOptionValue("site", "kochi"));
        switch (args.length == 0 ? "" : args[0]) {
            case "platform" -> startPlatform(site, line);
            case "minions" -> startMinions(site, line);
            case "callers" -> new LoadTestCommand(site, line).run();
            case "config" ->
                    new ConfigChangeBenchmark(site, line)
                            .run(Integer.parseInt(line.getOptionValue("requests", "200")));
            case "relay" -> startRelay(line);
            case "summary" -> System.exit(TrialSummary.print(line) ? 0 : 1);
            case "site" ->
                    Json.mapper().writeValue(outputFile(line).toFile(), site.configuration());
            default -> {
                System.err.println(
                        "first argument must be platform, minions, callers, config, relay, site or"
                                + " summary");
                System.exit(2);
            }
        }
    }

    private static CommandLine parse(String[] args) throws ParseException {
        Options options = new Options();
        for (String name :
                List.of(
                        "site",
                        "out",
                        "minions",
                        "lag",
                        "reboot",
                        "work",
                        "targets",
                        "requests",
                        "concurrency",
                        "seed",
                        "seconds",
                        "turn",
                        "rate",
                        "skew",
                        "keyed",
                        "deadline",
                        "control",
                        "faulty",
                        "mode",
                        "direct",
                        "label",
                        "run",
                        "warm")) {
            options.addOption(null, name, true, name);
        }
        return new DefaultParser().parse(options, args);
    }

    private static Path outputFile(CommandLine line) {
        return Path.of(line.getOptionValue("out"));
    }

    private static void startPlatform(Site site, CommandLine line) throws IOException {
        Map<String, Integer> ports =
                Json.mapper()
                        .readValue(
                                Path.of(line.getOptionValue("minions")).toFile(),
                                new TypeReference<>() {});
        HostTable.MinionAddresses addresses = MinionStandIn.addresses(ports);
        PlatformStandIn platform =
                new PlatformStandIn(
                        hostsWithMinions(site, addresses),
                        addresses,
                        Long.parseLong(line.getOptionValue("lag", "500")),
                        Long.parseLong(line.getOptionValue("reboot", "1000")));
        platform.start(0)
                .onSuccess(port -> writeAtomically(outputFile(line), Integer.toString(port)));
    }

    /** Returns the hosts of the site with their initial minions. */
    public static List<ListedHost> hostsWithMinions(
            Site site, HostTable.MinionAddresses addresses) {
        List<ListedHost> hosts = new ArrayList<>();
        for (ListedHost host : site.hosts()) {
            List<MinionEndpoint> minions =
                    site.initialServices(hosts.size()).stream()
                            .map(service -> addresses.find(host.worker(), service))
                            .toList();
            hosts.add(host.withMinions(minions));
        }
        return hosts;
    }

    private static void startMinions(Site site, CommandLine line) {
        MinionStandIn minions =
                new MinionStandIn(Long.parseLong(line.getOptionValue("work", "20")));
        minions.start(site.hosts(), site.services())
                .compose(
                        ports ->
                                minions.startControl()
                                        .onSuccess(
                                                control -> {
                                                    writeAtomically(
                                                            Path.of(line.getOptionValue("control")),
                                                            Integer.toString(control));
                                                    writeAtomically(
                                                            outputFile(line), toJson(ports));
                                                }));
    }

    private static void startRelay(CommandLine line) {
        LinkRelay relay = new LinkRelay();
        relay.start(List.of(line.getOptionValue("targets").split(",")))
                .compose(
                        ports ->
                                relay.startControl()
                                        .onSuccess(
                                                control -> {
                                                    writeAtomically(
                                                            Path.of(line.getOptionValue("control")),
                                                            Integer.toString(control));
                                                    writeAtomically(
                                                            outputFile(line), toJson(ports));
                                                }));
    }

    private static String toJson(Object value) {
        return Json.mapper().valueToTree(value).toString();
    }

    private static void writeAtomically(Path file, String text) {
        try {
            Path partFile = file.resolveSibling(file.getFileName() + ".part");
            Files.writeString(partFile, text + "\n");
            Files.move(partFile, file);
        } catch (IOException e) {
            throw new IllegalStateException("cannot write " + file, e);
        }
    }
}
