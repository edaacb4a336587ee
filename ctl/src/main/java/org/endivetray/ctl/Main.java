package org.endivetray.ctl;

import java.io.Console;
import java.io.PrintStream;
import java.util.Scanner;
import org.endivetray.EndivetrayException;

/**
 * Entry point of {@code endivetrayctl}, the command line for operators.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class Main {
    /** Version of this program. */
    public static final String VERSION = "0.1.0";

    private Main() {}

    /**
     * Runs one command and exits the process with its exit code.
     *
     * @param args the command and its options, as {@code --help} lists them, not null
     */
    public static void main(String[] args) {
        System.setProperty(
                "vertx.logger-delegate-factory-class-name",
                "io.vertx.core.logging.JULLogDelegateFactory");
        System.exit(run(args, System.out, System.err, Main::ask));
    }

    /**
     * Runs one command and returns its exit code.
     *
     * @param args the command and its options, not null
     * @param out receives results, not null
     * @param err receives errors, not null
     * @param confirmation asks the operator to confirm a change, not null
     */
    public static int run(
            String[] args,
            PrintStream out,
            PrintStream err,
            CommandRunner.Confirmation confirmation) {
        try {
            CommandRunner.run(args, out, confirmation);
            return 0;
        } catch (EndivetrayException e) {
            err.println("endivetrayctl: error " + e.code().number() + " " + e.code().name());
            err.println("  " + e.getMessage());
            err.println("  " + e.code().action());
            return e.code().exitCode();
        }
    }

    private static boolean ask(String question) {
        System.out.print(question + " [y/N] ");
        System.out.flush();
        Console console = System.console();
        if (console != null) {
            return isYes(console.readLine());
        }
        Scanner scanner = new Scanner(System.in);
        return scanner.hasNextLine() && isYes(scanner.nextLine());
    }

    private static boolean isYes(String answer) {
        return answer != null && answer.trim().equalsIgnoreCase("y");
    }
}
