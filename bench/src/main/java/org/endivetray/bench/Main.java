package org.endivetray.bench;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;

/**
 * Runs the benchmarks that need no separate processes: {@code fleet} and {@code slopes}.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class Main {
    private Main() {}

    /**
     * Runs a benchmark.
     *
     * @param args name of the benchmark and its options, not null
     */
    public static void main(String[] args) throws Exception {
        Options options = new Options();
        for (String name : List.of("site", "workers", "intent", "fault", "policy", "seed")) {
            options.addOption(null, name, true, name);
        }
        CommandLine line = new DefaultParser().parse(options, args);
        switch (args.length == 0 ? "" : args[0]) {
            case "fleet" -> FleetBenchmark.run(line);
            case "slopes" -> ScalingBenchmark.run();
            default ->
                    throw new EndivetrayException(
                            ResultCode.USAGE, "first argument must be fleet or slopes");
        }
    }
}
