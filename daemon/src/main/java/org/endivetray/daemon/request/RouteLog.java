package org.endivetray.daemon.request;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.endivetray.ResultCode;

/**
 * Logs routing decisions if enabled, and always logs the ejection of a minion.
 *
 * <p>This class is thread-safe.
 */
final class RouteLog {
    private static final Logger LOGGER = System.getLogger(RouteLog.class.getName());

    private final boolean mEnabled;

    RouteLog(boolean enabled) {
        mEnabled = enabled && LOGGER.isLoggable(Level.INFO);
    }

    void sent(RoutedRequest request, MinionState minion) {
        if (!mEnabled) {
            return;
        }
        LOGGER.log(
                Level.INFO,
                "route: sent"
                        + subject(request)
                        + " member="
                        + request.member()
                        + " minion="
                        + minion.endpoint().address()
                        + " worker="
                        + minion.worker()
                        + " slots="
                        + minion.inFlight()
                        + "/"
                        + minion.limit()
                        + " attempt="
                        + (request.attempts() + 1));
    }

    void retried(RoutedRequest request, AttemptOutcome lastOutcome) {
        if (mEnabled) {
            LOGGER.log(Level.INFO, "route: retried" + subject(request) + " reason=" + lastOutcome);
        }
    }

    void ended(RoutedRequest request, ResultCode code) {
        if (!mEnabled || code == ResultCode.ANSWERED) {
            return;
        }
        LOGGER.log(
                Level.INFO,
                "route: ended"
                        + subject(request)
                        + " code="
                        + code.number()
                        + " outcome="
                        + code.outcome().label()
                        + " reason="
                        + code);
    }

    void ejected(ServiceState service, MinionState minion, AttemptOutcome lastOutcome) {
        LOGGER.log(
                Level.WARNING,
                "route: minion left out service="
                        + service.declaration().name()
                        + " minion="
                        + minion.endpoint().address()
                        + " reason="
                        + lastOutcome);
    }

    private static String subject(RoutedRequest request) {
        return " request=" + request.id() + " service=" + request.service();
    }
}
