package org.endivetray.proof.soak;

import java.io.IOException;
import java.net.InetSocketAddress;

/** A process of the product with its ports, and what it needs beside it. */
interface CrowdedSite extends AutoCloseable {
    /** Returns the process. */
    CrowdedProcess process();

    /** Returns the address of a port of the process. */
    InetSocketAddress address(CrowdPort port);

    /** Returns whether each kind of ordinary client gets an answer. */
    boolean servesOrdinaryClients() throws InterruptedException;

    /**
     * Returns the memory of the process in MiB with what the kernel holds for the connections to
     * its ports, 0 if it has ended.
     */
    default long usedMib() throws IOException {
        SocketQueues queues = SocketQueues.read();
        long queued = 0;
        for (CrowdPort port : CrowdPort.values()) {
            if (port.routesRequests() == routesRequests()) {
                queued += queues.bytesOfServer(address(port));
            }
        }
        long resident = process().peakResidentMib();
        return resident == 0 ? 0 : resident + (queued >> 20);
    }

    /** Returns whether the process routes requests; otherwise it schedules jobs. */
    boolean routesRequests();

    /** Returns the most memory that the process may use, in MiB. */
    long maxUsedMib();

    @Override
    void close() throws InterruptedException;
}
