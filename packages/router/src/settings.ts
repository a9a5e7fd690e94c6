/** Settings of the router, read from TOML. @module */
import {
  describeEnum,
  describeInteger,
  describeList,
  describeString,
  describeUrl,
  type SettingsOf,
} from "@jaytiller/kernel";
import type { Timing } from "@jaytiller/ownership";

/** How requests queue for the execution slots of a backend server. */
export enum AdmissionPolicy {
  /** By class and deadline, with load shedding, slow start and retries. */
  Classes = "classes",
  /** First in, first out, without retries; the baseline of benchmarks. */
  Fifo = "plain",
}

/** Schema of the settings file: sections, keys, limits and default values. */
export const SETTINGS_SCHEMA = {
  node: {
    id: describeString({ pattern: /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/ }),
    zone: describeString({ pattern: /^[a-zA-Z0-9][a-zA-Z0-9_-]{0,62}$/ }),
  },
  listen: {
    host: describeString({ default: "127.0.0.1" }),
    callerPort: describeInteger({ min: 0, max: 65_535, default: 0 }),
    peerPort: describeInteger({ min: 0, max: 65_535, default: 0 }),
    operatorPort: describeInteger({ min: 0, max: 65_535, default: 0 }),
  },
  platform: {
    logUrl: describeUrl(),
    vmListUrl: describeUrl(),
    seeds: describeList(describeUrl(), { default: [] }),
    snapshotEvery: describeInteger({
      min: 100,
      max: 1_000_000,
      default: 2_000,
    }),
  },
  timing: {
    heartbeatMs: describeInteger({ min: 10, max: 10_000, default: 100 }),
    renewMs: describeInteger({ min: 10, max: 10_000, default: 100 }),
    leaseMs: describeInteger({ min: 50, max: 60_000, default: 450 }),
    leaseMarginMs: describeInteger({ min: 1, max: 10_000, default: 30 }),
    suspectAfterMs: describeInteger({ min: 20, max: 60_000, default: 250 }),
    authorityMs: describeInteger({ min: 50, max: 60_000, default: 400 }),
    clockErrorMs: describeInteger({ min: 0, max: 60_000, default: 50 }),
    identityToleranceMs: describeInteger({
      min: 0,
      max: 60_000,
      default: 250,
    }),
  },
  limits: {
    headerBytes: describeInteger({ min: 1_024, max: 65_536, default: 16_384 }),
    bodyBytes: describeInteger({
      min: 1_024,
      max: 1_073_741_824,
      default: 268_435_456,
    }),
    connections: describeInteger({ min: 1, max: 100_000, default: 2_000 }),
    bodyIdleTimeoutMs: describeInteger({
      min: 100,
      max: 600_000,
      default: 5_000,
    }),
    bufferedAnswerBytes: describeInteger({
      min: 1_024,
      max: 16_777_216,
      default: 65_536,
    }),
  },
  admission: {
    policy: describeEnum(Object.values(AdmissionPolicy), {
      default: AdmissionPolicy.Classes,
    }),
  },
  log: {
    level: describeEnum(["debug", "info", "warn", "error"], {
      default: "info",
    }),
  },
};

/** Validated settings of the router. */
export type RouterSettings = SettingsOf<typeof SETTINGS_SCHEMA>;

/** Returns the durations, in ms, that ownership decisions depend on. */
export function getTiming(settings: RouterSettings): Timing {
  return settings.timing;
}
