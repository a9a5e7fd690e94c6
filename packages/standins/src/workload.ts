/** Workloads: sizes, routes and service times of deployments. @module */
import {
  type CallRule,
  FindingList,
  FindingsError,
  type Route,
} from "@jaytiller/model";
import { readFileSync } from "node:fs";
import { parse, stringify } from "smol-toml";
import type { FleetOptions, ServiceSpec } from "./fleet_options.js";

/** Names of the workloads included in this package. */
export enum WorkloadName {
  Tabwright = "tabwright",
  LoneStar = "lonestar",
}

/** Fleet options that describe a deployment and can be stored in a file. */
export interface Workload extends FleetOptions {
  readonly name: string;
}

/** Upper bounds for scaling down a workload. */
export interface WorkloadScale {
  readonly zones?: number;
  readonly entriesPerZone?: number;
  /** Number of services, taken from the start of the list. */
  readonly services?: number;
  readonly serversPerZone?: number;
}

/** Scale of the demo and of test fleets. */
export const DEMO_SCALE: Required<WorkloadScale> = {
  zones: 2,
  entriesPerZone: 2,
  services: 2,
  serversPerZone: 2,
};

type Fields = Readonly<Record<string, unknown>>;

/** Expected type of each key. List elements are not covered. */
const WORKLOAD_KEYS = {
  name: "string",
  zones: "list",
  entriesPerZone: "number",
  latencies: "object",
  backend: "object",
  services: "list",
};
const LATENCY_KEYS = { betweenZonesMs: "number", clientMs: "number" };
const SERVICE_KEYS: Readonly<Record<keyof ServiceSpec, string>> = {
  name: "string",
  pathPrefix: "string",
  shards: "number",
  checksOwner: "boolean",
  serversPerZone: "number",
  slots: "number",
  connections: "number",
  serviceMs: "number",
  rules: "list",
};
const RULE_KEYS: Readonly<Record<keyof CallRule, string>> = {
  prefix: "string",
  methods: "list",
  idempotent: "boolean",
  class: "string",
  deadlineMs: "number",
  maxBodyBytes: "number",
};

function convertKeys(
  value: unknown,
  convert: (key: string) => string,
): unknown {
  if (Array.isArray(value)) return value.map((v) => convertKeys(v, convert));
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map((
      [k, v],
    ) => [convert(k), convertKeys(v, convert)]),
  );
}

function convertToSnakeCase(key: string): string {
  return key.replace(/[A-Z]/g, (c) => `_${c.toLowerCase()}`);
}

function convertToCamelCase(key: string): string {
  return key.replace(/_([a-z])/g, (_, c) => c.toUpperCase());
}

function describeType(value: unknown): string {
  return Array.isArray(value) ? "list" : typeof value;
}

function checkKeys(
  value: unknown,
  keys: Readonly<Record<string, string>>,
  at: { list: FindingList; path: string },
): void {
  const fields = (value ?? {}) as Fields;
  for (const key of new Set([...Object.keys(keys), ...Object.keys(fields)])) {
    const expected = keys[key];
    if (expected === describeType(fields[key])) continue;
    const message = expected ? `Expected a ${expected}` : "Unknown key";
    at.list.add(at.path + convertToSnakeCase(key), fields[key], message);
  }
}

/**
 * Parses the TOML text of a workload. Throws a `FindingsError` that lists all
 * missing, unknown and invalid keys.
 */
export function parseWorkload(text: string, source: string): Workload {
  const value = convertKeys(parse(text), convertToCamelCase) as Fields;
  const list = new FindingList(source);
  checkKeys(value, WORKLOAD_KEYS, { list, path: "" });
  checkKeys(value.latencies, LATENCY_KEYS, { list, path: "latencies." });
  const services = Array.isArray(value.services) ? value.services : [];
  services.forEach((service, i) => {
    const path = `services[${i}].`;
    checkKeys(service, SERVICE_KEYS, { list, path });
    const rules = Array.isArray(service.rules) ? service.rules : [];
    rules.forEach((rule: unknown, j: number) =>
      checkKeys(rule, RULE_KEYS, { list, path: `${path}rules[${j}].` })
    );
  });
  if (!list.isEmpty) throw new FindingsError(list.items);
  return value as unknown as Workload;
}

/** Reads a workload included in this package. */
export function readWorkload(name: WorkloadName): Workload {
  const url = new URL(`../../workloads/${name}.toml`, import.meta.url);
  return parseWorkload(readFileSync(url, "utf8"), `${name}.toml`);
}

/** Scales down a workload; bounds above the workload's values have no effect. */
export function scaleWorkload(
  workload: Workload,
  scale: WorkloadScale,
): Workload {
  const limit = (value: number, bound = Infinity) => Math.min(value, bound);
  return {
    ...workload,
    zones: workload.zones.slice(0, scale.zones),
    entriesPerZone: limit(workload.entriesPerZone, scale.entriesPerZone),
    services: workload.services.slice(0, scale.services).map((service) => ({
      ...service,
      serversPerZone: limit(service.serversPerZone, scale.serversPerZone),
    })),
  };
}

/** Creates the route of a service. */
export function makeRoute(service: ServiceSpec): Route {
  const { pathPrefix, shards, checksOwner, slots, connections, rules } =
    service;
  return {
    service: service.name,
    pathPrefix,
    shards,
    checksOwner,
    slots,
    connections,
    rules,
  };
}

/** Formats the route of a service as TOML for the operator command line. */
export function formatRouteFile(service: ServiceSpec): string {
  return stringify(
    convertKeys(makeRoute(service), convertToSnakeCase) as Fields,
  );
}
