package org.endivetray.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.file.Files;
import java.nio.file.Path;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.junit.jupiter.api.Test;

class SettingsTest {
    private static final String ADDRESS = "{\"host\": \"127.0.0.1\", \"port\": 9000}";
    private static final String VALID =
            "{ // a comment\n \"name\": \"e1\", \"zone\": \"a\", \"platform\": {\"store\": "
                    + ADDRESS
                    + ", \"hosts\": "
                    + ADDRESS
                    + ", \"workers\": "
                    + ADDRESS
                    + "}}";

    private static EndivetrayException failureOf(String text) {
        return catchThrowableOfType(EndivetrayException.class, () -> Settings.ofText(text));
    }

    @Test
    void aValidTextWithCommentsIsReadAndAMissingKeyGetsItsDefault() {
        Settings settings = Settings.ofText(VALID);
        assertThat(settings.text(SettingKey.NAME)).isEqualTo("e1");
        assertThat(settings.number(SettingKey.SLOTS)).isEqualTo(8);
    }

    @Test
    void allErrorsOfATextAreReportedTogetherWithThePathsOfTheKeys() {
        EndivetrayException failure =
                failureOf(
                        "{\"name\": 7, \"colour\": 1, \"limits\": {\"slotsPerMinion\": 0,"
                                + " \"bodyBytes\": \"big\", \"speed\": 3},"
                                + " \"routing\": {\"policy\": \"luck\"}}");
        assertThat(failure.code()).isEqualTo(ResultCode.INVALID_SETTINGS);
        assertThat(failure.getMessage().lines())
                .contains(
                        "name: must be a string: 7",
                        "colour: unknown key",
                        "limits.speed: unknown key",
                        "limits.slotsPerMinion: must be 1 to 1024 requests: 0",
                        "limits.bodyBytes: must be a whole number: \"big\"",
                        "routing.policy: must be granted, static or p2c: \"luck\"",
                        "zone: missing",
                        "platform.store.host: missing");
    }

    @Test
    void aTextThatIsNotAJsonObjectIsRejected() {
        assertThat(failureOf("{\"name\": ").code()).isEqualTo(ResultCode.SETTINGS_UNREADABLE);
        assertThat(failureOf("[]").code()).isEqualTo(ResultCode.SETTINGS_UNREADABLE);
    }

    @Test
    void theSettingsPageListsEverySettingKeyAsItIsInTheCode() throws Exception {
        String page = Files.readString(Path.of("../docs/SETTINGS.md"));
        StringBuilder rows = new StringBuilder();
        for (SettingKey key : SettingKey.values()) {
            rows.append("| `")
                    .append(key.path())
                    .append("` | ")
                    .append(key.unit())
                    .append(" | ")
                    .append(key.range())
                    .append(" | ")
                    .append(key.defaultValue() == null ? "must be given" : key.defaultValue())
                    .append(" | ")
                    .append(key.meaning())
                    .append(" |\n");
        }
        assertThat(page).as("rows must be:\n" + rows).contains(rows);
    }

    @Test
    void theErrorsPageListsEveryResultCodeAsItIsInTheCode() throws Exception {
        String page = Files.readString(Path.of("../docs/ERRORS.md"));
        StringBuilder rows = new StringBuilder();
        for (ResultCode code : ResultCode.values()) {
            rows.append("| ")
                    .append(code.number())
                    .append(" | ")
                    .append(code.name())
                    .append(" | ")
                    .append(code.outcome().label())
                    .append(" | ")
                    .append(code.httpStatus())
                    .append(" | ")
                    .append(code.exitCode())
                    .append(" | ")
                    .append(code.meaning())
                    .append(" | ")
                    .append(code.action())
                    .append(" |\n");
        }
        assertThat(page).as("rows must be:\n" + rows).contains(rows);
    }
}
