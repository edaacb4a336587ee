package org.endivetray.ctl;

import org.apache.commons.cli.Options;

/**
 * The commands of {@code endivetrayctl}, each with its words, arguments and options.
 *
 * <p>This enum is immutable and thread-safe.
 */
enum Command {
    POOL_CREATE("pool create", "NAME", "creates a pool and lets free workers join it") {
        @Override
        void addOptions(Options options) {
            addBudgetOptions(options);
            options.addOption(null, "workers", true, "workers that join, separated by commas");
            options.addOption(null, "spare", false, "its workers may be lent by drains and waves");
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
    SERVICE_DECLARE("service declare", "NAME", "declares that a pool carries a service") {
        @Override
        void addOptions(Options options) {
            options.addOption(null, "pool", true, "the pool");
            options.addOption(null, "repeatable-post", false, "a POST may be sent twice");
            options.addOption(null, "urgent", false, "its requests go before patient ones");
            options.addOption(null, "deadline-millis", true, "deadline unless a request has one");
        }
    },
    MEMBER_SET("member set", "NAME", "declares a member") {
        @Override
        void addOptions(Options options) {
            options.addOption(null, "weight", true, "share of a contended service, 1 or more");
        }
    },
    APPLY("apply", "FILE", "applies a file of pools, members and joins, JSON with comments"),
    WORKER_LIST("worker list", "", "lists the workers"),
    DRAIN_RACK("drain rack", "RACK", "takes every worker of a rack out of service"),
    DRAIN_WORKER("drain worker", "WORKER", "takes one worker out of service"),
    DRAIN_ZONE("drain zone", "ZONE", "takes every worker of an availability zone out of service"),
    RESTORE_RACK("restore rack", "RACK", "puts drained workers of a rack back into service"),
    LEND("lend", "N", "lends N workers from one pool to another") {
        @Override
        void addOptions(Options options) {
            options.addOption(null, "from", true, "the lending pool");
            options.addOption(null, "to", true, "the borrowing pool");
        }
    },
    WAVE_CREATE("wave create", "POOL|RACK|all", "reboots workers in growing steps"),
    PLAN_LIST("plan list", "", "lists the plans"),
    PLAN_SHOW("plan show", "ID", "shows one plan"),
    PLAN_CONFIRM("plan confirm", "ID", "confirms a plan"),
    PLAN_CANCEL("plan cancel", "ID", "cancels a plan"),
    PLAN_PAUSE("plan pause", "ID", "halts a plan; steps under way go on"),
    PLAN_RESUME("plan resume", "ID", "resumes a halted plan"),
    STATUS("status", "", "shows the daemon's view of the fleet");

    private final String mWords;
    private final String mArgument;
    private final String mHelp;

    Command(String words, String argument, String help) {
        mWords = words;
        mArgument = argument;
        mHelp = help;
    }

    /** Returns the command that the arguments begin with, or null. */
    static Command ofArguments(String[] args) {
        String joined = String.join(" ", args) + " ";
        for (Command command : values()) {
            if (joined.startsWith(command.mWords + " ")) {
                return command;
            }
        }
        return null;
    }

    /** Returns the number of words of the command. */
    int wordCount() {
        return mWords.split(" ").length;
    }

    /** Returns the words with the argument. */
    String usage() {
        return mArgument.isEmpty() ? mWords : mWords + " " + mArgument;
    }

    /** Returns the name of the argument, or empty if the command has none. */
    String argument() {
        return mArgument;
    }

    /** Returns what the command does, in one phrase. */
    String help() {
        return mHelp;
    }

    /** Adds the options that only this command has. */
    void addOptions(Options options) {}

    private static void addBudgetOptions(Options options) {
        options.addOption(null, "floor", true, "lowest number of available workers");
        options.addOption(null, "max-out", true, "highest number of workers out by plans");
        options.addOption(null, "survives", true, "none, rack or zone whose loss must be borne");
    }
}
