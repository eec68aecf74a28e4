package org.lockdale.router.platform;

import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.concurrent.Failures;
import org.lockdale.coordination.table.TableRow;
import org.lockdale.coordination.table.TableService;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.coordination.table.TableServiceException.Kind;
import org.lockdale.http.HttpCallException;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;

/**
 * Client of the platform's table service over HTTP. Row versions are entity tags, conditions are
 * preconditions on them (RFC 9110, section 13).
 */
public final class HttpTableService implements TableService {

  private static final int OK = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final HttpClient client;
  private final InetSocketAddress address;
  private final Duration timeout;

  /** Creates a client of the table service at an address, with a timeout for each call. */
  public HttpTableService(HttpClient client, InetSocketAddress address, Duration timeout) {
    this.client = client;
    this.address = address;
    this.timeout = timeout;
  }

  private static String pathOf(String table, String key) {
    return "/tables/" + table + "/" + key;
  }

  @Override
  public CompletableFuture<Optional<TableRow>> read(String table, String key) {
    return call(HttpRequestMessage.get(pathOf(table, key)))
        .thenApply(
            reply ->
                switch (reply.status()) {
                  case OK -> Optional.of(new TableRow(reply.body(), versionOf(reply)));
                  case NOT_FOUND -> Optional.<TableRow>empty();
                  default -> throw errorOf(reply);
                });
  }

  @Override
  public CompletableFuture<TableRow> create(String table, String key, byte[] value) {
    HttpRequestMessage request =
        HttpRequestMessage.json(HttpMethod.PUT, pathOf(table, key), value)
            .with("if-none-match", "*");
    return write(request, value);
  }

  @Override
  public CompletableFuture<TableRow> replace(
      String table, String key, byte[] value, long expectedVersion) {
    HttpRequestMessage request =
        HttpRequestMessage.json(HttpMethod.PUT, pathOf(table, key), value)
            .with("if-match", '"' + Long.toString(expectedVersion) + '"');
    return write(request, value);
  }

  private CompletableFuture<TableRow> write(HttpRequestMessage request, byte[] value) {
    return call(request)
        .thenApply(
            reply -> {
              if (reply.status() != NO_CONTENT) {
                throw errorOf(reply);
              }
              return new TableRow(value, versionOf(reply));
            });
  }

  private CompletableFuture<HttpReply> call(HttpRequestMessage request) {
    return client
        .exchange(address, request, timeout)
        .exceptionally(
            failure -> {
              throw callFailure(failure);
            });
  }

  private static TableServiceException callFailure(Throwable failure) {
    Throwable cause = Failures.causeOf(failure);
    boolean notSent =
        cause instanceof HttpCallException call && call.stage() == HttpCallException.Stage.NOT_SENT;
    Kind kind = notSent ? Kind.UNREACHABLE : Kind.OUTCOME_UNKNOWN;
    return new TableServiceException(kind, "table service: " + cause.getMessage());
  }

  private static TableServiceException errorOf(HttpReply reply) {
    Kind kind =
        switch (reply.status()) {
          case PRECONDITION_FAILED -> Kind.CONDITION_FAILED;
          case TOO_MANY_REQUESTS -> Kind.RATE_LIMITED;
          case SERVICE_UNAVAILABLE -> Kind.UNREACHABLE;
          default -> Kind.OUTCOME_UNKNOWN;
        };
    return new TableServiceException(kind, "the table service returned status " + reply.status());
  }

  private static long versionOf(HttpReply reply) {
    return Long.parseLong(reply.headers().get("etag", "0").replace("\"", ""));
  }
}
