package org.endivetray.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Prints JSON objects as a table with aligned columns.
 *
 * <p>This class has no state and is thread-safe.
 */
final class Tables {
    private Tables() {}

    /**
     * Prints a heading line followed by one line per row.
     *
     * @param out receives the table, not null
     * @param rows a JSON array of objects, not null
     * @param columns JSON pointers to the columns, whose last segments are the headings, not null
     */
    static void print(PrintStream out, JsonNode rows, String... columns) {
        List<String[]> cells = new ArrayList<>();
        cells.add(headings(columns));
        for (JsonNode row : rows) {
            String[] line = new String[columns.length];
            for (int i = 0; i < columns.length; i++) {
                JsonNode cell = row.at(columns[i]);
                line[i] = cell.isValueNode() ? cell.asText() : cell.toString();
            }
            cells.add(line);
        }
        int[] widths = new int[columns.length];
        for (String[] line : cells) {
            for (int i = 0; i < line.length; i++) {
                widths[i] = Math.max(widths[i], line[i].length());
            }
        }
        for (String[] line : cells) {
            out.println(join(line, widths));
        }
    }

    private static String[] headings(String[] columns) {
        String[] headings = new String[columns.length];
        for (int i = 0; i < columns.length; i++) {
            headings[i] = columns[i].substring(columns[i].lastIndexOf('/') + 1).toUpperCase();
        }
        return headings;
    }

    private static String join(String[] line, int[] widths) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < line.length; i++) {
            text.append(line[i]);
            if (i < line.length - 1) {
                text.append(" ".repeat(widths[i] - line[i].length() + 2));
            }
        }
        return text.toString();
    }
}
