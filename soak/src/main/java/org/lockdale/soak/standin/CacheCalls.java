package org.lockdale.soak.standin;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.lockdale.platform.RawBackend.Received;
import org.lockdale.platform.RawCaller;
import org.lockdale.soak.standin.CachedParts.Part;

/** Requests for cached prompt parts: those of the platform, and transfers between stand-ins. */
final class CacheCalls {

  private static final String LIST_PATH = "/kv-list";
  private static final String EVENTS_PATH = "/kv-events";
  private static final String TRANSFER_PATH = "/part";

  /** A transfer that takes longer is abandoned, and the part is computed instead. */
  private static final int TRANSFER_TIMEOUT_MILLIS = 300;

  private CacheCalls() {}

  /** Serves a request for cached parts; returns false without a response if it isn't one. */
  static boolean serve(ServerBase server, CachedParts cache, Received request, Socket connection)
      throws IOException {
    QueryStringDecoder uri = new QueryStringDecoder(request.line().split(" ")[1]);
    switch (uri.path()) {
      case LIST_PATH -> {
        String secondBody = cache.emptyList(SecondReplies.FIRST_MARKED_NUMBER);
        server.replies().toCall(connection, LIST_PATH, ServerBase.OK, cache.list(), secondBody);
      }
      case EVENTS_PATH -> {
        long since = Long.parseLong(uri.parameters().get("since").get(0));
        server.checkNumber(EVENTS_PATH, since);
        server.checkPosition(connection, EVENTS_PATH, since);
        String page = changes(cache, request, since);
        server.pageEnds().record(connection, since, page);
        // A second page is the same, so that a node can tell it by its position only.
        server.replies().toCall(connection, EVENTS_PATH, ServerBase.OK, page, page);
      }
      case TRANSFER_PATH -> transfer(server, cache, request, connection, uri.parameters());
      default -> {
        return false;
      }
    }
    return true;
  }

  private static String changes(CachedParts cache, Received request, long since)
      throws IOException {
    try {
      return cache.changes(since, ServerBase.parseNumber(request.header("Wait-Ms")));
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
      throw new IOException(ended);
    }
  }

  private static void transfer(
      ServerBase server,
      CachedParts cache,
      Received request,
      Socket connection,
      Map<String, List<String>> query)
      throws IOException {
    if (request.line().startsWith("PUT")) {
      cache.add(StandardStreams.parse(request.body(), Part.class));
      server.respond(connection, ServerBase.OK, "", "");
      return;
    }
    Part part = cache.get(query.get("salt").get(0), query.get("id").get(0));
    server.respond(connection, ServerBase.OK, "", part == null ? "" : StandardStreams.json(part));
  }

  /** Fetches a part from another holder; returns null if it doesn't have it or doesn't respond. */
  static @Nullable Part fetch(String source, String salt, String id) {
    String query = "?salt=" + URLEncoder.encode(salt, StandardCharsets.UTF_8) + "&id=" + id;
    String body = request(source, "GET " + TRANSFER_PATH + query, "");
    return body.isEmpty() ? null : StandardStreams.parse(body, Part.class);
  }

  /** Sends parts to another holder; failures are ignored. */
  static void save(String destination, List<Part> parts) {
    parts.forEach(part -> request(destination, "PUT " + TRANSFER_PATH, StandardStreams.json(part)));
  }

  /**
   * Sends a request to a holder at its real address, since the gateway takes no part in the links
   * between servers. Returns the body of the response, or an empty one if the holder is
   * unreachable.
   */
  private static String request(String address, String line, String body) {
    int colon = address.lastIndexOf(':');
    InetSocketAddress holder =
        new InetSocketAddress(
            Addresses.realHost(address.substring(0, colon)),
            Integer.parseInt(address.substring(colon + 1)));
    try (RawCaller caller = new RawCaller(holder, TRANSFER_TIMEOUT_MILLIS)) {
      caller.setReadTimeout(TRANSFER_TIMEOUT_MILLIS);
      caller.send(
          line
              + " HTTP/1.1\r\nHost: holder\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
      return caller.read().body();
    } catch (IOException unreachable) {
      return "";
    }
  }
}
