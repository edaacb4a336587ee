package org.endivetray.daemon.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.endivetray.EndivetrayException;
import org.endivetray.HostRecord;
import org.endivetray.Intent;
import org.endivetray.Json;
import org.endivetray.ListedHost;
import org.endivetray.Plan;
import org.endivetray.Pool;
import org.endivetray.ResultCode;
import org.endivetray.daemon.fleet.PlanService;
import org.endivetray.daemon.membership.Membership;
import org.endivetray.daemon.observe.Metrics;
import org.endivetray.daemon.settings.SettingKey;
import org.endivetray.daemon.settings.Settings;
import org.endivetray.daemon.state.Snapshot;
import org.endivetray.daemon.state.StateKeys;
import org.endivetray.daemon.state.StateSync;
import org.endivetray.daemon.state.StateView;
import org.endivetray.platform.intake.BodyReceiver;
import org.endivetray.platform.intake.IntakeLog;
import org.endivetray.platform.intake.IntakeObserver;
import org.endivetray.platform.intake.PortConnections;
import org.endivetray.policy.intake.IntakeBudget;
import org.endivetray.policy.intake.IntakeLimits;
import org.endivetray.policy.intake.IntakeReason;

/**
 * Serves operators' commands, health checks and metrics over HTTP.
 *
 * <p>Invariants: the response to a failed command has a JSON body with a numbered result code; the
 * bytes that are held of all commands, and the open connections, stay within the limits.
 *
 * <p>This class is thread-safe.
 */
public final class OperatorServer {
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final String BODY = "body";

    /** Time after which a refused command may be sent again, in seconds. */
    private static final String RETRY_AFTER_SECONDS = "1";

    private static final String OPERATOR_HEADER = "X-Endivetray-Operator";

    private final Vertx mVertx;
    private final IntakeObserver mObserver;
    private final PortConnections mConnections;
    private final IntakeBudget mBudget;
    private final HttpServer mServer;
    private final Settings mSettings;
    private final StateView mView;
    private final StateSync mStateSync;
    private final PlanService mPlanService;
    private final Membership mMembership;
    private final Metrics mMetrics;
    private final BooleanSupplier mIsReady;
    private final Router mRouter;

    /**
     * Constructs a server that has not been started.
     *
     * @param vertx the Vert.x instance that runs the server, not null
     * @param settings the validated settings, not null
     * @param view the stored state, not null
     * @param sync tells whether the store is up, not null
     * @param planService carries out the operators' commands, not null
     * @param membership tells which daemons are live and present, not null
     * @param metrics the metrics to serve, not null
     * @param isReady tells whether this daemon may be sent requests, not null
     */
    public OperatorServer(
            Vertx vertx,
            Settings settings,
            StateView view,
            StateSync sync,
            PlanService planService,
            Membership membership,
            Metrics metrics,
            BooleanSupplier isReady) {
        mVertx = vertx;
        mObserver = new IntakeLog("operators", metrics::onRefusedBeforeReceipt);
        mConnections =
                new PortConnections(settings.number(SettingKey.OPERATOR_CONNECTIONS), mObserver);
        mBudget = new IntakeBudget(settings.intakeBytes(MAX_BODY_BYTES));
        mServer =
                mConnections.server(
                        vertx,
                        new HttpServerOptions().setAcceptBacklog(IntakeLimits.INNER_BACKLOG));
        mSettings = settings;
        mView = view;
        mStateSync = sync;
        mPlanService = planService;
        mMembership = membership;
        mMetrics = metrics;
        mIsReady = isReady;
        mRouter = Router.router(vertx);
        addRoutes();
    }

    /** Starts listening and returns the port. */
    public Future<Integer> start() {
        return mServer.requestHandler(mRouter)
                .listen(
                        mSettings.number(SettingKey.OPERATORS_PORT),
                        mSettings.text(SettingKey.OPERATORS_HOST))
                .map(HttpServer::actualPort);
    }

    /** Stops listening and closes all connections. */
    public Future<Void> stop() {
        return mServer.close();
    }

    private void addRoutes() {
        mRouter.route().handler(this::closeIfAnswersAreNotRead);
        mRouter.get("/healthz").handler(context -> answer(context, 200, "ok\n"));
        mRouter.get("/readyz").handler(this::readyz);
        mRouter.get("/metrics").handler(this::metrics);
        mRouter.route().handler(context -> new CommandReceipt(context).start());
        mRouter.get("/v1/pools").handler(context -> respond(context, this::pools));
        mRouter.get("/v1/pools/:name")
                .handler(context -> respond(context, () -> pool(context.pathParam("name"))));
        mRouter.get("/v1/workers").handler(context -> respond(context, this::workers));
        mRouter.get("/v1/status").handler(context -> respond(context, this::status));
        mRouter.get("/v1/plans")
                .handler(context -> respond(context, () -> toJson(mPlanService.plans())));
        mRouter.get("/v1/plans/:id")
                .handler(context -> respond(context, () -> plan(context.pathParam("id"))));
        mRouter.post("/v1/plans").handler(this::propose);
        mRouter.post("/v1/plans/:id/confirm")
                .handler(
                        context -> respond(context, mPlanService.confirm(context.pathParam("id"))));
        mRouter.post("/v1/plans/:id/cancel")
                .handler(context -> respond(context, mPlanService.cancel(context.pathParam("id"))));
        mRouter.post("/v1/plans/:id/resume")
                .handler(context -> respond(context, mPlanService.resume(context.pathParam("id"))));
        mRouter.post("/v1/plans/:id/pause")
                .handler(context -> respond(context, mPlanService.pause(context.pathParam("id"))));
    }

    private void readyz(RoutingContext context) {
        boolean ready = mIsReady.getAsBoolean();
        answer(context, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    }

    private void metrics(RoutingContext context) {
        context.response().putHeader("content-type", "text/plain; version=0.0.4");
        answer(context, 200, mMetrics.text());
    }

    /** Answers a request whose body is not read. */
    private void answer(RoutingContext context, int status, String body) {
        context.response().setStatusCode(status);
        mConnections.answer(context.request(), body);
    }

    private void closeIfAnswersAreNotRead(RoutingContext context) {
        if (!mConnections.closeIfAnswersAreNotRead(context.request())) {
            context.next();
        }
    }

    /**
     * A command that is being received or has no response yet.
     *
     * <p>Invariants: the room of its body is returned when the response has ended or its connection
     * was closed.
     */
    private final class CommandReceipt implements BodyReceiver.Handler {
        private final RoutingContext mCommand;

        private CommandReceipt(RoutingContext command) {
            mCommand = command;
        }

        private void start() {
            new BodyReceiver(
                            mVertx, mCommand.request(), mConnections, mBudget, MAX_BODY_BYTES, this)
                    .start();
        }

        @Override
        public void onBody(byte[] body, Runnable answered) {
            mCommand.addEndHandler(ignored -> answered.run());
            mCommand.put(BODY, body);
            mCommand.next();
        }

        @Override
        public void onRefused(IntakeReason reason) {
            mObserver.onRefused(reason);
            mCommand.response().putHeader("Connection", "close");
            if (reason == IntakeReason.BUSY) {
                mCommand.response().putHeader("Retry-After", RETRY_AFTER_SECONDS);
            }
            ResultCode code =
                    reason == IntakeReason.TOO_LARGE
                            ? ResultCode.REQUEST_TOO_LARGE
                            : ResultCode.INTAKE_FULL;
            respondWithError(mCommand, new EndivetrayException(code, code.meaning()));
        }

        @Override
        public void onClosed(boolean isEvicted) {
            if (isEvicted) {
                mObserver.onRefused(IntakeReason.TOO_SLOW);
            }
        }
    }

    private void propose(RoutingContext context) {
        Intent intent;
        try {
            intent = Json.mapper().readValue(context.<byte[]>get(BODY), Intent.class);
        } catch (IOException e) {
            respondWithError(
                    context,
                    new EndivetrayException(
                            ResultCode.INVALID_INTENT,
                            "the intent cannot be parsed: " + e.getMessage()));
            return;
        }
        String operator = context.request().getHeader(OPERATOR_HEADER);
        respond(context, mPlanService.propose(operator == null ? "unnamed" : operator, intent));
    }

    // ---- views

    private JsonNode pools() {
        Snapshot snapshot = mView.snapshot();
        ArrayNode rows = Json.mapper().createArrayNode();
        snapshot.fleet().pools().forEach(pool -> rows.add(poolRow(snapshot, pool)));
        return rows;
    }

    private JsonNode pool(String name) {
        Snapshot snapshot = mView.snapshot();
        return snapshot.fleet()
                .pool(name)
                .map(found -> poolRow(snapshot, found))
                .orElseThrow(
                        () ->
                                new EndivetrayException(
                                        ResultCode.UNKNOWN_POOL,
                                        "pool '" + name + "' does not exist"));
    }

    private static ObjectNode poolRow(Snapshot snapshot, Pool pool) {
        ObjectNode row = Json.mapper().createObjectNode();
        row.set("pool", toJson(pool));
        row.put("version", snapshot.version(StateKeys.POOL + pool.name()));
        row.put("workers", snapshot.fleet().recordsOf(pool.name()).size());
        row.put("available", snapshot.fleet().available(pool.name()).size());
        row.set("outages", toJson(snapshot.fleet().ledger(pool.name()).outages()));
        return row;
    }

    private JsonNode workers() {
        Snapshot snapshot = mView.snapshot();
        ArrayNode rows = Json.mapper().createArrayNode();
        for (ListedHost host : snapshot.fleet().listedHosts()) {
            ObjectNode row = rows.addObject();
            HostRecord hostRecord = snapshot.fleet().record(host.worker()).orElse(null);
            row.put("worker", host.worker());
            row.put("rack", host.rack());
            row.put("zone", host.zone());
            row.put("listed", host.status().name());
            row.put("pool", hostRecord == null ? "" : hostRecord.pool());
            row.put("state", hostRecord == null ? "" : hostRecord.state().name());
            row.put("plan", hostRecord == null ? "" : hostRecord.planId());
        }
        return rows;
    }

    private JsonNode plan(String id) {
        return mPlanService
                .plan(id)
                .map(OperatorServer::toJson)
                .orElseThrow(
                        () ->
                                new EndivetrayException(
                                        ResultCode.UNKNOWN_PLAN,
                                        "plan '" + id + "' does not exist"));
    }

    private JsonNode status() {
        Snapshot snapshot = mView.snapshot();
        ObjectNode status = Json.mapper().createObjectNode();
        status.put("daemon", mMembership.self().name());
        status.put("ready", mIsReady.getAsBoolean());
        status.put("storeUp", mStateSync.isStoreUp());
        status.put("revision", snapshot.revision());
        status.set("inForce", toJson(mMembership.configRevisions()));
        status.set("live", toJson(mMembership.live()));
        status.set("present", toJson(mMembership.present()));
        status.put("pools", snapshot.fleet().pools().size());
        status.put("workers", snapshot.fleet().records().size());
        status.put(
                "plansRunning",
                snapshot.plans().stream().filter(plan -> plan.state().isActive()).count());
        status.set("damaged", toJson(snapshot.damaged()));
        status.put("innerBytesSent", mMembership.sentBytes());
        return status;
    }

    private static JsonNode toJson(Object value) {
        return Json.mapper().valueToTree(value);
    }

    // ---- responses

    private void respond(RoutingContext context, Supplier<JsonNode> view) {
        try {
            sendJson(context, ResultCode.PLAN_ACCEPTED.httpStatus(), view.get());
        } catch (RuntimeException e) {
            respondWithError(context, e);
        }
    }

    private void respond(RoutingContext context, CompletableFuture<Plan> plan) {
        Future.fromCompletionStage(plan, eventLoopOf(context))
                .onSuccess(
                        done ->
                                sendJson(
                                        context,
                                        ResultCode.PLAN_ACCEPTED.httpStatus(),
                                        toJson(done)))
                .onFailure(cause -> respondWithError(context, cause));
    }

    private static Context eventLoopOf(RoutingContext context) {
        return context.vertx().getOrCreateContext();
    }

    private static void respondWithError(RoutingContext context, Throwable cause) {
        Throwable root = cause instanceof CompletionException ? cause.getCause() : cause;
        ResultCode code =
                root instanceof EndivetrayException known ? known.code() : ResultCode.INTERNAL;
        ObjectNode body = Json.mapper().createObjectNode();
        body.put("code", code.number());
        body.put("name", code.name());
        body.put("message", String.valueOf(root.getMessage()));
        body.put("action", code.action());
        sendJson(context, code.httpStatus(), body);
    }

    private static void sendJson(RoutingContext context, int status, JsonNode body) {
        context.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(body.toString());
    }
}
