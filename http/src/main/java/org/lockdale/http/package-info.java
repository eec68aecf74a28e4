/**
 * An HTTP/1.1 server and client on Netty's codec, shared by the gateway, the router and the
 * stand-ins.
 */
@NullMarked
package org.lockdale.http;

import org.jspecify.annotations.NullMarked;
