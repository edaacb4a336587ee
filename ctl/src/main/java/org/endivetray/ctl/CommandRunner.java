package org.endivetray.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.endivetray.AvailabilityBudget;
import org.endivetray.EndivetrayException;
import org.endivetray.FailureDomain;
import org.endivetray.HostRecord;
import org.endivetray.Intent;
import org.endivetray.IntentKind;
import org.endivetray.Json;
import org.endivetray.Member;
import org.endivetray.Plan;
import org.endivetray.Pool;
import org.endivetray.ResultCode;
import org.endivetray.ServiceDeclaration;

/**
 * Parses the command line and runs one command against a daemon.
 *
 * <p>A command that changes the fleet or its configuration prints the proposed plan and asks for
 * confirmation. The daemon carries the plan out only after the operator has confirmed it.
 *
 * <p>This class is not thread-safe.
 */
public final class CommandRunner {
    private static final String DEFAULT_SERVER = "127.0.0.1:8081";
    private static final int MAX_SHOWN_STEPS = 40;

    private final Command mCommand;
    private final CommandLine mCommandLine;
    private final DaemonClient mClient;
    private final PrintStream mOut;
    private final Confirmation mConfirmation;

    private CommandRunner(
            Command command,
            CommandLine commandLine,
            DaemonClient client,
            PrintStream out,
            Confirmation confirmation) {
        mCommand = command;
        mCommandLine = commandLine;
        mClient = client;
        mOut = out;
        mConfirmation = confirmation;
    }

    /** Asks the operator to confirm a change. */
    @FunctionalInterface
    public interface Confirmation {
        /** Returns whether the operator answers yes to the question. */
        boolean ask(String question);
    }

    /**
     * Runs the command that the arguments name.
     *
     * @param args the command and its options, not null
     * @param out receives results, not null
     * @param confirmation asks the operator to confirm a change, not null
     * @throws EndivetrayException with the code of the failure
     */
    public static void run(String[] args, PrintStream out, Confirmation confirmation) {
        if (args.length == 0 || args[0].equals("--help") || args[0].equals("-h")) {
            printOverview(out);
            return;
        }
        if (args[0].equals("--version")) {
            out.println("endivetrayctl " + Main.VERSION);
            return;
        }
        Command command = Command.ofArguments(args);
        if (command == null) {
            throw usageError("unknown command: '" + String.join(" ", args) + "'");
        }
        Options options = options(command);
        CommandLine commandLine = parse(command, options, args);
        if (commandLine.hasOption("help")) {
            printHelp(command, options);
            return;
        }
        requireArgument(command, commandLine);
        DaemonClient client =
                new DaemonClient(
                        commandLine.getOptionValue("server", DEFAULT_SERVER),
                        commandLine.getOptionValue("operator", System.getProperty("user.name")));
        try {
            new CommandRunner(command, commandLine, client, out, confirmation).run();
        } finally {
            client.stop();
        }
    }

    private static Options options(Command command) {
        Options options = new Options();
        options.addOption(
                null, "server", true, "daemons to try in order, host:port separated by commas");
        options.addOption(null, "operator", true, "operator name recorded in plans");
        options.addOption("o", "output", true, "output format: table or json");
        options.addOption("y", "yes", false, "confirm the plan without asking");
        options.addOption("h", "help", false, "print this help");
        command.addOptions(options);
        return options;
    }

    private static CommandLine parse(Command command, Options options, String[] args) {
        String[] rest = Arrays.copyOfRange(args, command.wordCount(), args.length);
        try {
            CommandLine commandLine = new DefaultParser().parse(options, rest);
            String output = commandLine.getOptionValue("output", "table");
            if (!List.of("table", "json").contains(output)) {
                throw usageError("--output must be table or json: '" + output + "'");
            }
            return commandLine;
        } catch (ParseException e) {
            throw usageError(e.getMessage());
        }
    }

    private static void requireArgument(Command command, CommandLine commandLine) {
        int expected = command.argument().isEmpty() ? 0 : 1;
        if (commandLine.getArgList().size() != expected) {
            throw usageError("usage: endivetrayctl " + command.usage());
        }
    }

    private static void printOverview(PrintStream out) {
        out.println("usage: endivetrayctl COMMAND [OPTIONS]");
        for (Command command : Command.values()) {
            out.printf("  %-28s %s%n", command.usage(), command.help());
        }
        out.println("Use COMMAND --help to list the options of the command.");
    }

    private static void printHelp(Command command, Options options) {
        try {
            HelpFormatter.builder()
                    .setShowSince(false)
                    .get()
                    .printHelp(
                            "endivetrayctl " + command.usage(), command.help(), options, "", false);
        } catch (IOException e) {
            throw new EndivetrayException(ResultCode.INTERNAL, "cannot print the help text", e);
        }
    }

    private static EndivetrayException usageError(String message) {
        return new EndivetrayException(ResultCode.USAGE, message);
    }

    private String argument() {
        return mCommandLine.getArgList().get(0);
    }

    private void run() {
        switch (mCommand) {
            case POOL_LIST -> show(mClient.read("/v1/pools"), poolColumns());
            case POOL_SHOW -> showOne(mClient.read("/v1/pools/" + argument()));
            case WORKER_LIST ->
                    show(
                            mClient.read("/v1/workers"),
                            "/worker",
                            "/rack",
                            "/zone",
                            "/listed",
                            "/pool",
                            "/state",
                            "/plan");
            case PLAN_LIST -> show(mClient.read("/v1/plans"), planColumns());
            case PLAN_SHOW -> showPlan(mClient.read("/v1/plans/" + argument()));
            case PLAN_CONFIRM -> showAndConfirm(argument());
            case PLAN_CANCEL -> showPlan(postAction("cancel"));
            case PLAN_PAUSE -> showPlan(postAction("pause"));
            case PLAN_RESUME -> showPlan(postAction("resume"));
            case STATUS -> showOne(mClient.read("/v1/status"));
            default -> proposeAndConfirm(buildIntent());
        }
    }

    private JsonNode postAction(String verb) {
        return mClient.post("/v1/plans/" + argument() + "/" + verb, null);
    }

    // ---- Intents

    private Intent buildIntent() {
        return switch (mCommand) {
            case POOL_CREATE -> createPool();
            case BUDGET_SET -> changePool(argument(), pool -> pool.withBudget(buildBudget()));
            case SERVICE_DECLARE -> changePool(requiredOption("pool"), this::addService);
            case MEMBER_SET ->
                    Intent.ofConfiguration(
                            List.of(),
                            List.of(new Member(argument(), integerOption("weight", 1))),
                            List.of(),
                            Map.of());
            case APPLY -> readIntent();
            case DRAIN_RACK -> Intent.of(IntentKind.DRAIN_RACK, argument());
            case DRAIN_WORKER -> Intent.of(IntentKind.DRAIN_WORKER, argument());
            case DRAIN_ZONE -> Intent.of(IntentKind.DRAIN_ZONE, argument());
            case RESTORE_RACK -> Intent.of(IntentKind.RESTORE_RACK, argument());
            case LEND ->
                    Intent.ofLoan(
                            parseInteger("N", argument()),
                            requiredOption("from"),
                            requiredOption("to"));
            case WAVE_CREATE -> Intent.of(IntentKind.WAVE, argument());
            default -> throw usageError("command does not change anything: " + mCommand.usage());
        };
    }

    private Intent createPool() {
        String workers = mCommandLine.getOptionValue("workers", "");
        List<HostRecord> joins =
                Arrays.stream(workers.split(","))
                        .filter(worker -> !worker.isBlank())
                        .map(worker -> HostRecord.ofActive(worker.trim(), argument()))
                        .toList();
        Pool pool = new Pool(argument(), mCommandLine.hasOption("spare"), buildBudget(), List.of());
        return Intent.ofConfiguration(List.of(pool), List.of(), joins, Map.of(argument(), 0L));
    }

    private Intent changePool(String name, UnaryOperator<Pool> change) {
        JsonNode row = mClient.read("/v1/pools/" + name);
        Pool pool = Json.mapper().convertValue(row.path("pool"), Pool.class);
        return Intent.ofConfiguration(
                List.of(change.apply(pool)),
                List.of(),
                List.of(),
                Map.of(name, row.path("version").asLong()));
    }

    private Pool addService(Pool pool) {
        return pool.plusService(
                new ServiceDeclaration(
                        argument(),
                        mCommandLine.hasOption("repeatable-post"),
                        mCommandLine.hasOption("urgent"),
                        integerOption(
                                "deadline-millis", ServiceDeclaration.DEFAULT_DEADLINE_MILLIS)));
    }

    private Intent readIntent() {
        try {
            return Json.mapper().readValue(Path.of(argument()).toFile(), Intent.class);
        } catch (IOException e) {
            throw new EndivetrayException(
                    ResultCode.INVALID_INTENT,
                    "cannot read '" + argument() + "': " + e.getMessage(),
                    e);
        }
    }

    private AvailabilityBudget buildBudget() {
        String survives = mCommandLine.getOptionValue("survives", "none").toUpperCase(Locale.ROOT);
        if (Arrays.stream(FailureDomain.values())
                .noneMatch(domain -> domain.name().equals(survives))) {
            throw usageError("--survives must be none, rack or zone: '" + survives + "'");
        }
        return new AvailabilityBudget(
                integerOption("floor", 0),
                integerOption("max-out", AvailabilityBudget.MAX_WORKERS),
                FailureDomain.valueOf(survives));
    }

    private String requiredOption(String option) {
        String value = mCommandLine.getOptionValue(option);
        if (value == null) {
            throw usageError("missing option --" + option);
        }
        return value;
    }

    private int integerOption(String option, int defaultValue) {
        String value = mCommandLine.getOptionValue(option);
        return value == null ? defaultValue : parseInteger("--" + option, value);
    }

    private static int parseInteger(String name, String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw usageError(name + " must be a whole number: '" + text + "'");
        }
    }

    // ---- Plans

    private void proposeAndConfirm(Intent intent) {
        JsonNode plan = mClient.post("/v1/plans", intent);
        showPlan(plan);
        requestConfirmation(plan.path("id").asText());
    }

    private void showAndConfirm(String id) {
        showPlan(mClient.read("/v1/plans/" + id));
        requestConfirmation(id);
    }

    private void requestConfirmation(String id) {
        if (!mCommandLine.hasOption("yes") && !mConfirmation.ask("Confirm plan " + id + "?")) {
            throw new EndivetrayException(
                    ResultCode.DECLINED, "plan " + id + " was not confirmed and remains proposed");
        }
        JsonNode confirmed = mClient.post("/v1/plans/" + id + "/confirm", null);
        mOut.println("plan " + id + " is " + confirmed.path("state").asText());
    }

    // ---- Output

    private boolean isJson() {
        return mCommandLine.getOptionValue("output", "table").equals("json");
    }

    private void show(JsonNode rows, String... columns) {
        if (isJson()) {
            mOut.println(rows.toPrettyString());
        } else {
            Tables.print(mOut, rows, columns);
        }
    }

    private void showOne(JsonNode row) {
        if (isJson()) {
            mOut.println(row.toPrettyString());
            return;
        }
        row.properties()
                .forEach(entry -> mOut.printf("%-16s %s%n", entry.getKey(), entry.getValue()));
    }

    private void showPlan(JsonNode json) {
        if (isJson()) {
            mOut.println(json.toPrettyString());
            return;
        }
        Plan plan = Json.mapper().convertValue(json, Plan.class);
        mOut.println("plan      " + plan.id() + "  " + plan.state());
        mOut.println("intent    " + plan.intent().summary());
        mOut.println("operator  " + plan.operator());
        mOut.println("moves     " + plan.estimate().moves());
        mOut.println("roll-out  " + plan.estimate().rolloutSeconds() + " s expected");
        plan.estimate()
                .lowestAvailable()
                .forEach((pool, lowest) -> mOut.println("lowest    " + pool + " " + lowest));
        for (Pool pool : plan.intent().pools()) {
            mOut.println("sets      " + pool);
        }
        if (!plan.note().isEmpty()) {
            mOut.println("note      " + plan.note());
        }
        plan.steps().stream()
                .limit(MAX_SHOWN_STEPS)
                .forEach(
                        step ->
                                mOut.println(
                                        "step      "
                                                + step.kind()
                                                + " "
                                                + step.worker()
                                                + " "
                                                + step.fromPool()
                                                + (step.toPool().isEmpty()
                                                        ? ""
                                                        : " -> " + step.toPool())
                                                + " "
                                                + step.state()));
        if (plan.steps().size() > MAX_SHOWN_STEPS) {
            mOut.println("and " + (plan.steps().size() - MAX_SHOWN_STEPS) + " more steps");
        }
    }

    private static String[] poolColumns() {
        return new String[] {
            "/pool/name",
            "/workers",
            "/available",
            "/pool/budget/floorWorkers",
            "/pool/budget/maxPlannedOutages",
            "/pool/budget/survives",
            "/pool/spare"
        };
    }

    private static String[] planColumns() {
        return new String[] {
            "/id", "/state", "/operator", "/intent/kind", "/intent/target", "/note"
        };
    }
}
