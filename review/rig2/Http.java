import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP servers and a client with JSON bodies on the loopback address. */
final class Http {
    static final ObjectMapper JSON = new ObjectMapper();
    static final String HOST = "127.0.0.1";

    private static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    work -> {
                        Thread thread = new Thread(work, "http");
                        thread.setDaemon(true);
                        return thread;
                    });

    private Http() {}

    /** A request that was received completely. */
    record Request(
            String method,
            String path,
            Map<String, String> query,
            Map<String, String> headers,
            JsonNode body) {}

    /** A reply; status 0 of a client's call means that there was none. */
    record Reply(int status, JsonNode body) {
        boolean isSuccess() {
            return status >= 200 && status < 300;
        }
    }

    /** Answers requests. */
    interface Handler {
        /** Returns the reply, null to leave the request without an answer for good. */
        Reply handle(Request request) throws Exception;
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static Reply reply(int status, JsonNode body) {
        return new Reply(status, body);
    }

    static void spawn(Runnable work) {
        THREADS.execute(work);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(HOST, 0));
            return socket.getLocalPort();
        }
    }

    /** Starts a server on a free port and returns the port. */
    static int serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(HOST, 0), 512);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, Handler handler) {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            Map<String, String> headers = new HashMap<>();
            exchange.getRequestHeaders()
                    .forEach((name, values) -> headers.put(name.toLowerCase(), values.get(0)));
            Reply reply =
                    handler.handle(
                            new Request(
                                    exchange.getRequestMethod(),
                                    exchange.getRequestURI().getPath(),
                                    query(exchange.getRequestURI().getRawQuery()),
                                    headers,
                                    bytes.length == 0
                                            ? MissingNode.getInstance()
                                            : JSON.readTree(bytes)));
            if (reply == null) {
                return;
            }
            byte[] out = JSON.writeValueAsBytes(reply.body());
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status(), out.length);
            exchange.getResponseBody().write(out);
            exchange.close();
        } catch (IOException e) {
            exchange.close();
        } catch (Exception e) {
            e.printStackTrace();
            exchange.close();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    /** Sends a request on a connection of its own. */
    static Reply call(
            int port, String method, String path, String host, JsonNode body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, port), timeoutMillis);
            socket.setTcpNoDelay(true);
            long end = System.nanoTime() + timeoutMillis * 1_000_000L;
            byte[] out = body == null ? new byte[0] : JSON.writeValueAsBytes(body);
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n"
                            + "X-Endivetray-Request-Deadline: " + timeoutMillis + "\r\n"
                            + "Content-Type: application/json\r\nConnection: close\r\n"
                            + "Content-Length: " + out.length + "\r\n\r\n";
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.write(head.getBytes(StandardCharsets.US_ASCII));
            message.write(out);
            socket.getOutputStream().write(message.toByteArray());
            return readReply(socket, end);
        } catch (IOException e) {
            return new Reply(0, MissingNode.getInstance());
        }
    }

    private static Reply readReply(Socket socket, long endNanos) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] buffer = new byte[8192];
        while (true) {
            long left = (endNanos - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new IOException("no answer in time");
            }
            socket.setSoTimeout((int) left);
            int count = in.read(buffer);
            if (count < 0) {
                break;
            }
            bytes.write(buffer, 0, count);
            String text = bytes.toString(StandardCharsets.UTF_8);
            int blank = text.indexOf("\r\n\r\n");
            if (blank >= 0) {
                int length = contentLength(text.substring(0, blank));
                if (length >= 0 && bytes.size() >= blank + 4 + length) {
                    break;
                }
            }
        }
        String text = bytes.toString(StandardCharsets.UTF_8);
        int blank = text.indexOf("\r\n\r\n");
        if (blank < 0) {
            throw new IOException("incomplete answer");
        }
        String rest = text.substring(blank + 4);
        return new Reply(
                Integer.parseInt(text.split(" ")[1]),
                rest.isEmpty() ? MissingNode.getInstance() : JSON.readTree(rest));
    }

    private static int contentLength(String head) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) {
                return Integer.parseInt(line.substring(15).trim());
            }
        }
        return -1;
    }
}
