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
import org.endivetray.policy.intake.IntakeLimits;

/**
 * Performs the training run for the class data sharing archive, which loads the classes that a
 * scheduling daemon uses.
 *
 * <p>A daemon that starts from the archive is ready sooner, above all on a small host. The daemon
 * of the training run listens on the loopback interface only, and a server that refuses every
 * request takes the place of the platform.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class ArchiveTraining {
    private static final String HOST = "127.0.0.1";
    private static final String LOG_LEVEL = "INFO";
    private static final int CPU_MILLIS = 1_000;
    private static final int UNAVAILABLE_STATUS = 503;
    private static final int ANY_PORT = 0;

    /** Time for the daemon to start and to have its first platform calls refused. */
    private static final long TRAINING_MILLIS = 2_000;

    private static final long CALL_TIMEOUT_SECONDS = 10;
    private static final String PROJECT_CLASS_PREFIX = "org/endivetray/";
    private static final String CLASS_SUFFIX = ".class";

    private ArchiveTraining() {}

    /** Performs the training run; the caller must exit the process. */
    public static void run() {
        LogSetup.start(LOG_LEVEL);
        loadProjectClasses();
        Vertx vertx = Vertx.vertx();
        HttpServer platform =
                vertx.createHttpServer()
                        .requestHandler(
                                request ->
                                        request.body()
                                                .onComplete(
                                                        ignored ->
                                                                request.response()
                                                                        .setStatusCode(
                                                                                UNAVAILABLE_STATUS)
                                                                        .end("{}")));
        int platformPort = await(platform.listen(ANY_PORT, HOST)).actualPort();
        int frontPort = freePort(vertx);
        new JobDaemon(settings(platformPort, frontPort)).start();
        HttpClient client = vertx.createHttpClient();
        sleepMillis(TRAINING_MILLIS / 2);
        for (HttpMethod method : List.of(HttpMethod.GET, HttpMethod.POST, HttpMethod.DELETE)) {
            await(
                    client.request(method, frontPort, HOST, "/training/0000000000000000")
                            .compose(request -> request.send("{\"steps\":[]}"))
                            .compose(response -> response.body()));
        }
        sleepMillis(TRAINING_MILLIS / 2);
    }

    private static JobSettings settings(int platformPort, int frontPort) {
        JobSettings.Address platform = new JobSettings.Address(HOST, platformPort);
        long oneSecondMillis = TimeUnit.SECONDS.toMillis(1);
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
                oneSecondMillis,
                oneSecondMillis,
                oneSecondMillis,
                oneSecondMillis,
                oneSecondMillis,
                oneSecondMillis,
                0,
                IntakeLimits.ofHeap(Runtime.getRuntime().maxMemory()),
                LOG_LEVEL);
    }

    private static int freePort(Vertx vertx) {
        HttpServer server = vertx.createHttpServer().requestHandler(request -> {});
        int port = await(server.listen(ANY_PORT, HOST)).actualPort();
        await(server.close());
        return port;
    }

    /** Loads all classes of this project, including those that the training run does not use. */
    private static void loadProjectClasses() {
        try (JarFile jar = new JarFile(projectJar().toFile())) {
            for (JarEntry entry : (Iterable<JarEntry>) jar.stream()::iterator) {
                String name = entry.getName();
                if (name.startsWith(PROJECT_CLASS_PREFIX) && name.endsWith(CLASS_SUFFIX)) {
                    String className = name.substring(0, name.length() - CLASS_SUFFIX.length());
                    Class.forName(
                            className.replace('/', '.'),
                            false,
                            ArchiveTraining.class.getClassLoader());
                }
            }
        } catch (IOException | URISyntaxException | ClassNotFoundException e) {
            throw new EndivetrayException(
                    ResultCode.INTERNAL, "cannot load the classes for the archive", e);
        }
    }

    private static Path projectJar() throws URISyntaxException {
        return Path.of(
                ArchiveTraining.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    }

    private static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new EndivetrayException(
                    ResultCode.INTERNAL, "a call of the archive training run failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new EndivetrayException(
                    ResultCode.INTERNAL, "interrupted during the archive training run", e);
        }
    }

    private static void sleepMillis(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
