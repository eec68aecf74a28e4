package org.lockdale.gateway.quarantine;

import java.net.InetSocketAddress;
import org.lockdale.gateway.caller.CallerRequest;

/**
 * An attempt that broke off without the back end's word: its connection closed, or fell silent.
 *
 * @param backend id of the back end's incarnation
 * @param address where it was reached
 * @param request the request
 * @param caller name of the tenant, or the key where there is none
 * @param answerMillis how long its answer had been coming, in milliseconds; 0 before its begin
 * @param closed whether its connection was closed, as a process that ends does; otherwise nothing
 *     came for too long, as from one that is overloaded
 */
public record LostAttempt(
    String backend,
    InetSocketAddress address,
    CallerRequest request,
    String caller,
    long answerMillis,
    boolean closed) {}
