package org.lockdale.soak.run;

/** Supplies the requests of a caller, except those that take up a stream. */
@FunctionalInterface
interface RequestSource {

  /**
   * Returns the next request.
   *
   * @param request number of the request, starting at 1 for each caller
   * @param id id for the request
   */
  CallerRequest next(int request, String id);
}
