package org.endivetray.proof.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The bytes that the kernel holds for connections: sent ones that the other end has not
 * acknowledged, and received ones that the process has not read.
 *
 * <p>This class is immutable and thread-safe.
 */
final class SocketQueues {
    private static final List<Path> TABLES =
            List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

    /** Columns of the tables: local and remote address, state, and the lengths of both queues. */
    private static final int LOCAL_ADDRESS = 1;

    private static final int REMOTE_ADDRESS = 2;
    private static final int STATE = 3;
    private static final int QUEUES = 4;
    private static final String ESTABLISHED = "01";
    private static final String LISTENING = "0A";
    private static final int HEX = 16;

    /** Digits of an IPv4 address and a port with the colon between them. */
    private static final int ADDRESS_CHARS = 13;

    private final List<Row> mRows;

    /** The open connections by the addresses of both ends. */
    private final Map<String, Row> mOpen = new HashMap<>();

    private SocketQueues(List<Row> rows) {
        mRows = rows;
        for (Row row : rows) {
            if (row.state().equals(ESTABLISHED)) {
                mOpen.put(row.local() + row.remote(), row);
            }
        }
    }

    /** A connection as one of its ends sees it. */
    private record Row(String local, String remote, String state, long bytes) {}

    /** Returns the queues of all connections of the machine. */
    static SocketQueues read() throws IOException {
        List<Row> rows = new ArrayList<>();
        for (Path table : TABLES) {
            if (Files.exists(table)) {
                try (Stream<String> lines = Files.lines(table)) {
                    lines.skip(1).map(SocketQueues::row).forEach(rows::add);
                }
            }
        }
        return new SocketQueues(rows);
    }

    private static Row row(String line) {
        String[] columns = line.trim().split("\\s+");
        long bytes =
                Stream.of(columns[QUEUES].split(":"))
                        .mapToLong(length -> Long.parseLong(length, HEX))
                        .sum();
        return new Row(
                ipv4(columns[LOCAL_ADDRESS]), ipv4(columns[REMOTE_ADDRESS]), columns[STATE], bytes);
    }

    /** Returns the end of an address, which is its IPv4 part if it is mapped to IPv6. */
    private static String ipv4(String address) {
        return address.substring(address.length() - ADDRESS_CHARS);
    }

    /** Returns the bytes in the queues of a server for all connections to its address. */
    long bytesOfServer(InetSocketAddress server) {
        String local = text(server);
        return mRows.stream()
                .filter(row -> row.local().equals(local) && !row.state().equals(LISTENING))
                .mapToLong(Row::bytes)
                .sum();
    }

    /** Returns the bytes in the queues of both ends of a connection, -1 if it is not open. */
    long bytesOfConnection(InetSocketAddress client, InetSocketAddress server) {
        String clientText = text(client);
        String serverText = text(server);
        Row sending = mOpen.get(clientText + serverText);
        Row receiving = mOpen.get(serverText + clientText);
        return sending == null || receiving == null ? -1 : sending.bytes() + receiving.bytes();
    }

    /** Returns an IPv4 address as the tables show it: its bytes reversed, then the port. */
    private static String text(InetSocketAddress address) {
        byte[] bytes = address.getAddress().getAddress();
        return String.format(
                "%02X%02X%02X%02X:%04X", bytes[3], bytes[2], bytes[1], bytes[0], address.getPort());
    }
}
