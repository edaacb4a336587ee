package org.endivetray;

import java.util.Arrays;
import java.util.Optional;

/**
 * The numbered results of requests and of operators' commands.
 *
 * <p>Numbers are never reused. The thousands digit names the part: 1 requests, 2 operators'
 * commands, 3 settings, 4 platform and stored records, 5 the command line.
 *
 * <p>Invariants: numbers are unique; a code whose outcome is {@link Outcome#NOT_RUN} is only
 * reported for a request that never reached a minion or that a minion refused.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum ResultCode {
    ANSWERED(
            1000, Outcome.ANSWERED, 200, 0, "The complete answer of a minion follows.", "Nothing."),
    MALFORMED_REQUEST(
            1001,
            Outcome.NOT_RUN,
            400,
            2,
            "The request's path, header or body is malformed.",
            "Correct the request."),
    REQUEST_TOO_LARGE(
            1002,
            Outcome.NOT_RUN,
            413,
            2,
            "The request's body is longer than the limit.",
            "Send a smaller body."),
    UNKNOWN_SERVICE(
            1003,
            Outcome.NOT_RUN,
            404,
            2,
            "No pool declares the service.",
            "Check the name, or declare the service."),
    UNKNOWN_MEMBER(
            1004,
            Outcome.NOT_RUN,
            403,
            2,
            "The member is not declared.",
            "Check the name, or declare the member."),
    DEADLINE_TOO_SHORT(
            1005,
            Outcome.NOT_RUN,
            503,
            3,
            "The request would wait past its deadline, so it was refused at once.",
            "Retry later or with a longer deadline."),
    DEADLINE_PASSED(
            1006,
            Outcome.NOT_RUN,
            504,
            3,
            "The deadline passed before the request was sent to a minion.",
            "Retry with a longer deadline."),
    QUEUE_FULL(
            1007,
            Outcome.NOT_RUN,
            503,
            3,
            "The waiting queue of the member or of the service is full.",
            "Retry after a pause."),
    RING_FULL(
            1008,
            Outcome.NOT_RUN,
            503,
            3,
            "The ring buffer to a thread of the daemon is full.",
            "Retry after a pause; check the CPU load."),
    STOPPING(
            1009,
            Outcome.NOT_RUN,
            503,
            3,
            "The entry host is stopping or not ready.",
            "Retry; the load balancer picks another entry host."),
    MINION_REFUSED(
            1010,
            Outcome.NOT_RUN,
            503,
            3,
            "Each minion that was tried refused the request without running it.",
            "Retry after a pause."),
    MINION_UNREACHABLE(
            1011,
            Outcome.NOT_RUN,
            502,
            3,
            "No connection to a minion could be opened.",
            "Check the minions of the service."),
    CLAIM_UNAVAILABLE(
            1012,
            Outcome.NOT_RUN,
            503,
            3,
            "The platform's store could not record the idempotency key.",
            "Retry with the same key."),
    CALLER_GONE(
            1013,
            Outcome.NOT_RUN,
            499,
            3,
            "The caller closed its connection before the request was sent.",
            "Nothing."),
    DRAINING_ONLY(
            1014,
            Outcome.NOT_RUN,
            503,
            3,
            "The service has no minion that accepts new work.",
            "Check the drains and outages of the pool."),
    INTAKE_FULL(
            1015,
            Outcome.NOT_RUN,
            503,
            3,
            "The bodies that are being received leave no room for the request's body.",
            "Retry after the time that the response gives."),
    ANSWER_LOST(
            1101,
            Outcome.UNKNOWN,
            502,
            4,
            "The connection was lost after the request was sent, and a repetition is not safe.",
            "Check with the service whether the request ran before retrying."),
    ANSWER_LATE(
            1102,
            Outcome.UNKNOWN,
            504,
            4,
            "The deadline passed after the request was sent.",
            "Check with the service whether the request ran before retrying."),
    ANSWER_DAMAGED(
            1103,
            Outcome.UNKNOWN,
            502,
            4,
            "The minion's answer was truncated, too large or that of another request.",
            "Check with the service whether the request ran before retrying."),
    CLAIM_IN_DOUBT(
            1104,
            Outcome.UNKNOWN,
            409,
            4,
            "A request with the same idempotency key was sent and its outcome is not known.",
            "Check with the service whether the request ran; use a new key for new work."),
    PLAN_ACCEPTED(2000, Outcome.OPERATOR, 200, 0, "The command was carried out.", "Nothing."),
    UNKNOWN_POOL(2001, Outcome.OPERATOR, 404, 10, "The pool does not exist.", "List the pools."),
    UNKNOWN_WORKER(
            2002, Outcome.OPERATOR, 404, 10, "The worker does not exist.", "List the workers."),
    UNKNOWN_RACK(
            2003,
            Outcome.OPERATOR,
            404,
            10,
            "No worker is in the rack or availability zone.",
            "List the workers."),
    UNKNOWN_PLAN(2004, Outcome.OPERATOR, 404, 10, "The plan does not exist.", "List the plans."),
    BUDGET_FORBIDS(
            2005,
            Outcome.OPERATOR,
            409,
            11,
            "No order of steps keeps every pool's availability budget.",
            "Lend workers to the named pool or lower its budget."),
    STALE_PLAN(
            2006,
            Outcome.OPERATOR,
            409,
            12,
            "The state that the plan was computed from has changed.",
            "Review and confirm the fresh plan that is named."),
    PLAN_CONFLICT(
            2007,
            Outcome.OPERATOR,
            409,
            13,
            "Another operator's plan holds a worker or pool of this plan.",
            "Wait for the named plan or cancel it."),
    WRONG_PLAN_STATE(
            2008,
            Outcome.OPERATOR,
            409,
            14,
            "The plan's state does not allow the command.",
            "Show the plan."),
    INVALID_INTENT(
            2009, Outcome.OPERATOR, 400, 2, "The intent is malformed.", "Correct the command."),
    INVALID_BUDGET(
            2010, Outcome.OPERATOR, 400, 2, "The budget is out of range.", "Correct the budget."),
    TOO_FEW_SPARES(
            2011,
            Outcome.OPERATOR,
            409,
            11,
            "The lending pool has too few free workers within its budget.",
            "Lend fewer workers or from another pool."),
    WORKER_IN_POOL(
            2012,
            Outcome.OPERATOR,
            409,
            13,
            "The worker already belongs to a pool.",
            "Lend it instead."),
    INVALID_SETTINGS(
            3001,
            Outcome.OPERATOR,
            400,
            20,
            "The settings are invalid; all errors are listed.",
            "Correct each listed key."),
    SETTINGS_UNREADABLE(
            3002,
            Outcome.OPERATOR,
            400,
            20,
            "The settings file cannot be read or parsed.",
            "Check the path and the syntax."),
    ADDRESS_IN_USE(
            3003,
            Outcome.OPERATOR,
            500,
            21,
            "A listening address cannot be bound.",
            "Free the address or change the settings."),
    STORE_UNAVAILABLE(
            4001,
            Outcome.OPERATOR,
            503,
            30,
            "The platform's store does not answer.",
            "Wait for the platform; requests and drains continue meanwhile."),
    STORE_OUTCOME_UNKNOWN(
            4002,
            Outcome.OPERATOR,
            503,
            30,
            "The answer to a write was lost, and its outcome could not be read back.",
            "Show the plan again once the store answers."),
    VERSION_CONFLICT(
            4003,
            Outcome.OPERATOR,
            409,
            12,
            "Another writer changed the record first.",
            "Repeat the command."),
    DAMAGED_RECORD(
            4004,
            Outcome.OPERATOR,
            500,
            31,
            "A stored record is damaged or has an unknown format; it was left unchanged.",
            "Inspect the record with the named key."),
    PLATFORM_UNAVAILABLE(
            4005,
            Outcome.OPERATOR,
            503,
            30,
            "The platform's host list or worker interface does not answer.",
            "Wait for the platform."),
    RECORD_TOO_LARGE(
            4006,
            Outcome.OPERATOR,
            500,
            31,
            "A record would exceed the store's value limit.",
            "Split the pool or the plan."),
    HISTORY_LOST(
            4007,
            Outcome.OPERATOR,
            503,
            30,
            "The platform's store no longer has the changes that were asked for.",
            "Nothing; the daemon reloads the state."),
    USAGE(5001, Outcome.OPERATOR, 400, 2, "The command line is malformed.", "See --help."),
    DAEMON_UNREACHABLE(
            5002,
            Outcome.OPERATOR,
            503,
            40,
            "No daemon answers at the address.",
            "Check --server and that a daemon runs there."),
    DECLINED(
            5003,
            Outcome.OPERATOR,
            409,
            41,
            "The operator did not confirm the plan; nothing was changed.",
            "Nothing."),
    INTERNAL(5999, Outcome.OPERATOR, 500, 99, "An unexpected error occurred.", "Check the log.");

    private final int mNumber;
    private final Outcome mOutcome;
    private final int mHttpStatus;
    private final int mExitCode;
    private final String mMeaning;
    private final String mAction;

    ResultCode(
            int number,
            Outcome outcome,
            int httpStatus,
            int exitCode,
            String meaning,
            String action) {
        mNumber = number;
        mOutcome = outcome;
        mHttpStatus = httpStatus;
        mExitCode = exitCode;
        mMeaning = meaning;
        mAction = action;
    }

    /** Returns the code with the given number, or empty if there is none. */
    public static Optional<ResultCode> ofNumber(int number) {
        return Arrays.stream(values()).filter(code -> code.mNumber == number).findFirst();
    }

    /** Returns the unique number. */
    public int number() {
        return mNumber;
    }

    /** Returns what the caller may conclude. */
    public Outcome outcome() {
        return mOutcome;
    }

    /** Returns the HTTP status that carries the code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns the exit code of the command line. */
    public int exitCode() {
        return mExitCode;
    }

    /** Returns one sentence that says what happened. */
    public String meaning() {
        return mMeaning;
    }

    /** Returns one sentence that says what to do. */
    public String action() {
        return mAction;
    }
}
