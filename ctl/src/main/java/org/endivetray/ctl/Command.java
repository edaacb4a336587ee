package org.endivetray.ctl;

import org.apache.commons.cli.Options;

/**
 * A command of {@code endivetrayctl}, with its argument, its help text and its options.
 *
 * <p>This enum is immutable and thread-safe.
 */
enum Command {
    POOL_CREATE("pool create", "NAME", "creates a pool and adds unassigned workers to it") {
        @Override
        void addOptions(Options options) {
            addBudgetOptions(options);
            options.addOption(null, "workers", true, "workers to add, separated by commas");
            options.addOption(
                    null, "spare", false, "drains and waves may lend its workers to other pools");
        }
    },
    POOL_LIST("pool list", "", "lists the pools"),
    POOL_SHOW("pool show", "NAME", "shows one pool"),
    BUDGET_SET("budget set", "POOL", "sets the availability budget of a pool") {
        @Override
        void addOptions(Options options) {
            addBudgetOptions(options);
        }
    },
    SERVICE_DECLARE("service declare", "NAME", "declares a service of a pool") {
        @Override
        void addOptions(Options options) {
            options.addOption(null, "pool", true, "the pool");
            options.addOption(
                    null, "repeatable-post", false, "a POST may be sent twice without harm");
            options.addOption(null, "urgent", false, "its requests go before non-urgent requests");
            options.addOption(
                    null,
                    "deadline-millis",
                    true,
                    "deadline of requests that set none, in milliseconds");
        }
    },
    MEMBER_SET("member set", "NAME", "declares a member") {
        @Override
        void addOptions(Options options) {
            options.addOption(
                    null, "weight", true, "relative share of a contended service, at least 1");
        }
    },
    APPLY("apply", "FILE", "applies pools, members and joins from a file, JSON with comments"),
    WORKER_LIST("worker list", "", "lists the workers"),
    DRAIN_RACK("drain rack", "RACK", "takes all workers of a rack out of service"),
    DRAIN_WORKER("drain worker", "WORKER", "takes one worker out of service"),
    DRAIN_ZONE("drain zone", "ZONE", "takes all workers of an availability zone out of service"),
    RESTORE_RACK("restore rack", "RACK", "returns the drained workers of a rack to service"),
    LEND("lend", "N", "lends N workers from one pool to another") {
        @Override
        void addOptions(Options options) {
            options.addOption(null, "from", true, "the lending pool");
            options.addOption(null, "to", true, "the borrowing pool");
        }
    },
    WAVE_CREATE("wave create", "POOL|RACK|all", "reboots workers with growing concurrency"),
    PLAN_LIST("plan list", "", "lists the plans"),
    PLAN_SHOW("plan show", "ID", "shows one plan"),
    PLAN_CONFIRM("plan confirm", "ID", "confirms a plan"),
    PLAN_CANCEL("plan cancel", "ID", "cancels a plan"),
    PLAN_PAUSE("plan pause", "ID", "halts a plan; its steps stay as they are"),
    PLAN_RESUME("plan resume", "ID", "resumes a halted plan"),
    STATUS("status", "", "shows the fleet as the daemon sees it");

    private final String mWords;
    private final String mArgument;
    private final String mHelp;

    Command(String words, String argument, String help) {
        mWords = words;
        mArgument = argument;
        mHelp = help;
    }

    /** Returns the command whose words the arguments begin with, or null if there is none. */
    static Command ofArguments(String[] args) {
        String joined = String.join(" ", args) + " ";
        for (Command command : values()) {
            if (joined.startsWith(command.mWords + " ")) {
                return command;
            }
        }
        return null;
    }

    /** Returns the number of words in the name of the command. */
    int wordCount() {
        return mWords.split(" ").length;
    }

    /** Returns the name of the command followed by its argument. */
    String usage() {
        return mArgument.isEmpty() ? mWords : mWords + " " + mArgument;
    }

    /** Returns the name of the argument, or an empty string if the command has none. */
    String argument() {
        return mArgument;
    }

    /** Returns a one-line description of the command. */
    String help() {
        return mHelp;
    }

    /** Adds the options that are specific to this command. */
    void addOptions(Options options) {}

    private static void addBudgetOptions(Options options) {
        options.addOption(null, "floor", true, "minimum number of available workers");
        options.addOption(
                null,
                "max-out",
                true,
                "maximum number of workers that plans take out of service at once");
        options.addOption(
                null, "survives", true, "failure domain the pool survives: none, rack or zone");
    }
}
