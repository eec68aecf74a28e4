package org.lockdale.gateway.node;

import org.lockdale.coordination.lease.LeaseStore;
import org.lockdale.gateway.backend.BackendProtocol;
import org.lockdale.gateway.cache.CacheEventSource;
import org.lockdale.gateway.caller.CallerProtocol;
import org.lockdale.gateway.cluster.ClusterTable;
import org.lockdale.gateway.quarantine.SuspectTable;
import org.lockdale.gateway.resume.OriginStore;
import org.lockdale.gateway.table.SharedRecords;
import org.lockdale.gateway.table.TableFeed;
import org.lockdale.gateway.weights.EngineControl;

/**
 * The adapters by which a node of one deployment reaches callers, backends and the shared store.
 *
 * @param callers protocol of callers
 * @param backends protocol of backends
 * @param feed scans and changes of the tables in the shared store
 * @param records parser of the rows that operators and backends write
 * @param engines reads the state of engines and sends them orders
 * @param cacheEvents events of engines and cache stores about the prompt parts that they cache
 * @param clusterTable table that the nodes share with each other
 * @param suspects rows of suspect requests in the cluster table
 * @param origins rows that tell where streams began
 * @param rolloutLease row of the lease whose holder rolls out weights
 */
public record GatewayProtocols(
    CallerProtocol callers,
    BackendProtocol backends,
    TableFeed feed,
    SharedRecords records,
    EngineControl engines,
    CacheEventSource cacheEvents,
    ClusterTable clusterTable,
    SuspectTable suspects,
    OriginStore origins,
    LeaseStore rolloutLease) {}
