package org.lockdale.soak.standin;

import java.util.concurrent.atomic.AtomicLong;
import org.lockdale.platform.RawBackend.Received;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.judge.RequestFacts;

/**
 * Records the requests that a server receives and their runs, and ends the process after the start
 * of a run that crashes servers.
 */
final class RunRecorder {

  private static final long CRASH_DELAY_MILLIS = 40;

  private final String instance;
  private final String service;
  private final AtomicLong runs = new AtomicLong();

  /**
   * Creates a recorder.
   *
   * @param instance name of the server's incarnation in notes
   * @param service name of the server's service
   */
  RunRecorder(String instance, String service) {
    this.instance = instance;
    this.service = service;
  }

  /** Records the arrival of a caller's request. */
  void recordArrival(Received request) {
    StandardStreams.writeNote(
        new Note.Arrived(
            StandardStreams.nowMillis(), instance, service, ServerBase.noteId(request)));
  }

  /**
   * Records the start of a run; a crashing request ends the process later.
   *
   * @param weights version of the weights, or 0 for a server without a model
   * @param plannedMillis time that the run will take, in milliseconds
   * @return id of the run
   */
  String recordStart(Received request, long weights, long plannedMillis) {
    String run = instance + "/" + runs.incrementAndGet();
    String noteId = ServerBase.noteId(request);
    String[] line = request.line().split(" ");
    RequestFacts facts =
        new RequestFacts(
            line[0],
            line[1],
            request.body(),
            request.header(HeaderNames.MODEL),
            request.header(HeaderNames.PREFIX),
            request.header(HeaderNames.USAGE));
    StandardStreams.writeNote(
        new Note.Begun(
            StandardStreams.nowMillis(),
            instance,
            service,
            noteId,
            run,
            facts,
            request.header(HeaderNames.TENANT),
            weights,
            ServerBase.parseNumber(request.header(HeaderNames.DEADLINE)),
            plannedMillis,
            (int) ServerBase.parseNumber(request.header(HeaderNames.LAST_EVENT))));
    if (request.body().startsWith(ServerBase.CRASHING_BODY_PREFIX) || facts.hasCrashingPart()) {
      crash(noteId);
    }
    return run;
  }

  /** Ends this process shortly after the start of the run, as a fault in a server's code does. */
  private void crash(String requestId) {
    Thread crash =
        new Thread(
            () -> {
              sleep(CRASH_DELAY_MILLIS);
              StandardStreams.writeNote(
                  new Note.Crashed(StandardStreams.nowMillis(), instance, requestId));
              Runtime.getRuntime().halt(1);
            },
            "crash");
    crash.setDaemon(true);
    crash.start();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Records the end of a run.
   *
   * @param body body of the response as far as it was written
   * @param complete whether the whole response was written
   */
  void recordEnd(String run, int status, String body, boolean complete) {
    StandardStreams.writeNote(
        new Note.Ended(StandardStreams.nowMillis(), run, status, body, complete));
  }
}
