package org.endivetray.proof.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Clients outside the limits at each port of the product's processes, whose limits are lowered.
 *
 * <p>Each test holds the crowd open while ordinary clients are served, and serves them again
 * afterwards.
 *
 * <p>This class is not thread-safe.
 */
class CrowdedPortsTest {
    private static final int CROWD = 400;
    private static final int MIXED_CROWD = 100;

    /** How often each client of a crowd comes back. */
    private static final int RETURNS = 8;

    /** Most connections of callers, and of each other port. */
    private static final int MAX_CONNECTIONS = 80;

    private static final int MAX_OTHER_CONNECTIONS = 16;

    /** Descriptors of a process, and those that are left for its files and its own connections. */
    private static final int MAX_DESCRIPTORS = 256;

    private static final int OWN_DESCRIPTORS = 56;

    private static final String JOB_LIMITS =
            "\"intakeBytes\": 4194304, \"maxConnections\": "
                    + MAX_CONNECTIONS
                    + ", \"maxInnerConnections\": "
                    + MAX_OTHER_CONNECTIONS
                    + ",";

    private static final String REQUEST_LIMITS =
            "\"callerConnections\": "
                    + MAX_CONNECTIONS
                    + ", \"operatorConnections\": "
                    + MAX_OTHER_CONNECTIONS
                    + ", \"innerConnections\": "
                    + MAX_OTHER_CONNECTIONS;

    private static final Set<CrowdLoad> FRAMES =
            EnumSet.of(
                    CrowdLoad.FRAME,
                    CrowdLoad.FRAME_IN_PIECES,
                    CrowdLoad.FRAME_OVER_LIMIT,
                    CrowdLoad.VALUE_OVER_FRAME,
                    CrowdLoad.UNREAD_REPLIES,
                    CrowdLoad.NOTHING);

    private CrowdedSite mSite;

    @AfterEach
    void stopSite() throws Exception {
        if (mSite != null) {
            mSite.close();
        }
    }

    private static Stream<Arguments> portsAndLoads() {
        return Stream.of(CrowdPort.values())
                .flatMap(port -> loads(port).stream().map(load -> Arguments.arguments(port, load)));
    }

    private static Set<CrowdLoad> loads(CrowdPort port) {
        if (port.isInner()) {
            return FRAMES;
        }
        Set<CrowdLoad> requests = EnumSet.complementOf(EnumSet.copyOf(FRAMES));
        requests.add(CrowdLoad.NOTHING);
        return requests;
    }

    private void start(CrowdPort port) throws Exception {
        mSite =
                port.routesRequests()
                        ? new RequestSite(REQUEST_LIMITS, MAX_DESCRIPTORS)
                        : new CrowdSite(JOB_LIMITS, MAX_DESCRIPTORS);
    }

    private void checkBesideCrowd() throws Exception {
        CrowdedProcess process = mSite.process();
        assertThat(process.isAlive()).as("the daemon lives").isTrue();
        assertThat(mSite.servesOrdinaryClients()).as("ordinary clients are served").isTrue();
        assertThat(mSite.usedMib()).as("MiB").isBetween(1L, mSite.maxUsedMib());
        assertThat(process.peakDescriptors())
                .as("descriptors")
                .isBetween(1L, (long) MAX_DESCRIPTORS - OWN_DESCRIPTORS);
        assertThat(process.hasLogged("OutOfMemory")).as("out of memory").isFalse();
        assertThat(process.hasLogged("Too many open files")).as("out of descriptors").isFalse();
    }

    private void checkAfterCrowd() throws Exception {
        assertThat(mSite.servesOrdinaryClients()).as("ordinary clients are served").isTrue();
        assertThat(mSite.process().isAlive()).as("the daemon lives").isTrue();
    }

    @ParameterizedTest
    @MethodSource("portsAndLoads")
    void aDaemonLivesThroughACrowdAndServesOrdinaryClients(CrowdPort port, CrowdLoad load)
            throws Exception {
        start(port);
        try (ClientCrowd clients = new ClientCrowd(mSite.address(port), CROWD)) {
            clients.send(load.bytes(port), load.pieceBytes());
            checkBesideCrowd();
        }
        checkAfterCrowd();
    }

    @ParameterizedTest
    @EnumSource(CrowdPort.class)
    void aDaemonLivesThroughClientsThatComeBack(CrowdPort port) throws Exception {
        start(port);
        CrowdLoad load = port.isInner() ? CrowdLoad.FRAME_IN_PIECES : CrowdLoad.SMALL_BODY;
        try (ClientCrowd clients = new ClientCrowd(mSite.address(port), CROWD)) {
            for (int i = 0; i < RETURNS; i++) {
                clients.comeBack();
                clients.send(load.bytes(port), load.pieceBytes());
            }
            checkBesideCrowd();
        }
        checkAfterCrowd();
    }

    @Test
    void aDaemonThatSchedulesJobsLivesThroughCrowdsAtAllItsPorts() throws Exception {
        livesThroughCrowdsAt(CrowdPort.FRONT, CrowdPort.READY, CrowdPort.METRICS, CrowdPort.INNER);
    }

    @Test
    void aDaemonThatRoutesRequestsLivesThroughCrowdsAtAllItsPorts() throws Exception {
        livesThroughCrowdsAt(CrowdPort.CALLERS, CrowdPort.OPERATORS, CrowdPort.REQUEST_INNER);
    }

    /** Holds the crowds of all loads at all ports open at the same time. */
    private void livesThroughCrowdsAt(CrowdPort... ports) throws Exception {
        start(ports[0]);
        List<ClientCrowd> crowds = new ArrayList<>();
        try {
            for (CrowdPort port : ports) {
                for (CrowdLoad load : loads(port)) {
                    ClientCrowd clients = new ClientCrowd(mSite.address(port), MIXED_CROWD);
                    crowds.add(clients);
                    clients.send(load.bytes(port), load.pieceBytes());
                }
            }
            checkBesideCrowd();
        } finally {
            for (ClientCrowd clients : crowds) {
                clients.close();
            }
        }
        checkAfterCrowd();
    }
}
