package review.rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP servers on the loopback address with JSON bodies. */
public final class Http {
    public static final ObjectMapper JSON = new ObjectMapper();

    /** Answers one request. */
    public interface Handler {
        /** Returns the reply, or null to leave the request without an answer for good. */
        Reply handle(Request request) throws Exception;
    }

    /** A request that was received completely. */
    public record Request(
            String method,
            String path,
            Map<String, String> query,
            JsonNode body,
            HttpExchange exchange) {
        public String header(String name) {
            return exchange.getRequestHeaders().getFirst(name);
        }
    }

    /** A reply with a JSON body. */
    public record Reply(int status, JsonNode body) {}

    private Http() {}

    public static ObjectNode object() {
        return JSON.createObjectNode();
    }

    public static Reply reply(int status, JsonNode body) {
        return new Reply(status, body);
    }

    /** Starts a server on a free port, or on the given one. */
    public static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        work -> {
                            Thread thread = new Thread(work, "http");
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server;
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            JsonNode body = bytes.length == 0 ? MissingNode.getInstance() : JSON.readTree(bytes);
            Request request =
                    new Request(
                            exchange.getRequestMethod(),
                            exchange.getRequestURI().getPath(),
                            query(exchange.getRequestURI().getRawQuery()),
                            body,
                            exchange);
            Reply reply = handler.handle(request);
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
}
