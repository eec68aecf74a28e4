package org.lockdale.router.policy;

/**
 * A model or adapter that callers can request.
 *
 * @param name name that callers use
 * @param model model to run
 * @param adapter adapter to run on it, or an empty string
 * @param adapterVersion version of the adapter, or an empty string
 * @param weightsVersion target weights version of the model
 */
public record ServedModel(
    String name, String model, String adapter, String adapterVersion, String weightsVersion) {}
