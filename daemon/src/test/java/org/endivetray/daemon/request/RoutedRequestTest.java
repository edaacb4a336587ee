package org.endivetray.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Map;
import org.endivetray.Member;
import org.endivetray.Outcome;
import org.endivetray.ResultCode;
import org.junit.jupiter.api.Test;

/**
 * Tests what is reported of a repeatable request of which one attempt may have run.
 *
 * <p>This class is not thread-safe.
 */
class RoutedRequestTest {
    private static final RequestResult REFUSED =
            RequestResult.failed(ResultCode.MINION_REFUSED, "after 2 attempts");

    private final RoutedRequest mRequest =
            new RoutedRequest(
                    "r-1",
                    "charts",
                    new RoutedRequest.Call(HttpMethod.GET, "/x", Map.of(), Buffer.buffer()),
                    new Member("m", 1),
                    false,
                    true,
                    0,
                    1_000,
                    null);

    @Test
    void aRequestWhoseAttemptsAllDidNotRunIsReportedAsNotRun() {
        mRequest.onAttemptEnded(AttemptOutcome.NOT_CONNECTED);
        mRequest.onAttemptEnded(AttemptOutcome.REFUSED);
        assertThat(mRequest.reported(REFUSED)).isEqualTo(REFUSED);
    }

    @Test
    void aRequestWhoseEarlierAttemptMayHaveRunIsNotReportedAsNotRun() {
        for (AttemptOutcome earlier :
                new AttemptOutcome[] {
                    AttemptOutcome.LOST, AttemptOutcome.LATE, AttemptOutcome.DAMAGED
                }) {
            mRequest.onAttemptEnded(earlier);
            mRequest.onAttemptEnded(AttemptOutcome.REFUSED);
            assertThat(mRequest.reported(REFUSED).code().outcome())
                    .as(earlier.name())
                    .isEqualTo(Outcome.UNKNOWN);
        }
    }

    @Test
    void aRequestThatWaitsAgainAfterAnAttemptThatRanIsNotReportedAsNotRunAtItsDeadline() {
        mRequest.onAttemptEnded(AttemptOutcome.ANSWERED);
        RequestResult expired =
                RequestResult.failed(ResultCode.DEADLINE_PASSED, "no free slot in time");
        assertThat(mRequest.reported(expired).code().outcome()).isEqualTo(Outcome.UNKNOWN);
    }
}
