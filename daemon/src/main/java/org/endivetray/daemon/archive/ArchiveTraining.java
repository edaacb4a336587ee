package org.endivetray.daemon.archive;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.daemon.job.JobDaemon;
import org.endivetray.daemon.job.JobSettings;
import org.endivetray.daemon.observe.LogSetup;

/**
 * Loads what a scheduling daemon needs, so that the build can archive the loaded classes.
 *
 * <p>A daemon that starts from the archive is ready sooner, above all on a small host. The daemon
 * of the training listens on loopback only, and a server that refuses everything stands for the
 * platform.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class ArchiveTraining {
    private static final String HOST = "127.0.0.1";
    private static final String LOG_LEVEL = "INFO";
    private static final int CPU_MILLIS = 1_000;
    private static final int UNAVAILABLE = 503;
    private static final int ANY_PORT = 0;

    /** Time for the daemon to start and to have its first calls refused. */
    private static final long RUN_MILLIS = 2_000;

    private static final long CALL_SECONDS = 10;
    private static final String OWN_CLASSES = "org/endivetray/";
    private static final String CLASS_SUFFIX = ".class";

    private ArchiveTraining() {}

    /** Runs the training; the caller ends the process. */
    public static void run() {
        LogSetup.start(LOG_LEVEL);
        loadOwnClasses();
        Vertx vertx = Vertx.vertx();
        HttpServer platform =
                vertx.createHttpServer()
                        .requestHandler(
                                request ->
                                        request.body()
                                                .onComplete(
                                                        ignored ->
                                                                request.response()
                                                                        .setStatusCode(UNAVAILABLE)
                                                                        .end("{}")));
        int platformPort = await(platform.listen(ANY_PORT, HOST)).actualPort();
        int frontPort = freePort(vertx);
        new JobDaemon(settings(platformPort, frontPort)).start();
        HttpClient client = vertx.createHttpClient();
        pause(RUN_MILLIS / 2);
        for (HttpMethod method : List.of(HttpMethod.GET, HttpMethod.POST, HttpMethod.DELETE)) {
            await(
                    client.request(method, frontPort, HOST, "/training/0000000000000000")
                            .compose(request -> request.send("{\"steps\":[]}"))
                            .compose(response -> response.body()));
        }
        pause(RUN_MILLIS / 2);
    }

    private static JobSettings settings(int platformPort, int frontPort) {
        JobSettings.Address platform = new JobSettings.Address(HOST, platformPort);
        long second = TimeUnit.SECONDS.toMillis(1);
        return new JobSettings(
                "training",
                "training",
                HOST,
                frontPort,
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                platform,
                platform,
                platform,
                CPU_MILLIS,
                false,
                second,
                second,
                second,
                second,
                LOG_LEVEL);
    }

    private static int freePort(Vertx vertx) {
        HttpServer server = vertx.createHttpServer().requestHandler(request -> {});
        int port = await(server.listen(ANY_PORT, HOST)).actualPort();
        await(server.close());
        return port;
    }

    /** Loads the product's own classes, also those that the training does not come to use. */
    private static void loadOwnClasses() {
        try (JarFile jar = new JarFile(ownJar().toFile())) {
            for (JarEntry entry : (Iterable<JarEntry>) jar.stream()::iterator) {
                String name = entry.getName();
                if (name.startsWith(OWN_CLASSES) && name.endsWith(CLASS_SUFFIX)) {
                    String type = name.substring(0, name.length() - CLASS_SUFFIX.length());
                    Class.forName(
                            type.replace('/', '.'), false, ArchiveTraining.class.getClassLoader());
                }
            }
        } catch (IOException | URISyntaxException | ClassNotFoundException e) {
            throw new EndivetrayException(ResultCode.INTERNAL, "cannot load the classes", e);
        }
    }

    private static Path ownJar() throws URISyntaxException {
        return Path.of(
                ArchiveTraining.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    }

    private static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(CALL_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new EndivetrayException(ResultCode.INTERNAL, "the training failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new EndivetrayException(ResultCode.INTERNAL, "interrupted", e);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
