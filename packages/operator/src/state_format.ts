/** Formats the state of a router as text. @module */
import type { State } from "@jaytiller/rpc";
import { formatSection, formatTable, formatTime } from "./tables.js";

const TABLES: readonly ((state: State) => string[])[] = [
  ({ routes }) =>
    formatSection(
      "Routes",
      formatTable(
        ["service", "version", "path", "shards"],
        routes.flatMap(({ route, version }) =>
          route
            ? [[route.service, version, route.pathPrefix, route.shards]]
            : []
        ),
      ),
    ),
  ({ groups }) =>
    formatSection(
      "Groups",
      formatTable(
        ["group", "holder", "token", "term"],
        groups.map((g) => [g.group, g.holder, g.token, g.term]),
      ),
    ),
  ({ servers }) =>
    formatSection(
      "Servers",
      formatTable(
        ["server", "service", "zone", "state", "units", "drained", "suspected"],
        servers.map((
          s,
        ) => [
          s.id,
          s.service,
          s.zone,
          s.state,
          s.units,
          s.drained,
          s.suspected,
        ]),
      ),
    ),
  ({ assignments }) =>
    formatSection(
      "Assignments",
      formatTable(
        ["service", "unit", "server", "version", "reason"],
        assignments.map((
          a,
        ) => [a.service, a.unit, a.server, a.version, a.reason]),
      ),
    ),
  ({ poison }) =>
    formatSection(
      "Poison list",
      formatTable(
        ["fingerprint", "service", "crashes", "request"],
        poison.map((p) => [p.fingerprint, p.service, p.crashes, p.summary]),
      ),
    ),
  ({ routers, position }) =>
    formatSection(
      "Routers",
      formatTable(
        ["router", "zone", "position", "behind", "last heard", "operator port"],
        routers.map((r) => {
          const behind = Math.max(0, position - r.position);
          const heard = formatTime(r.lastHeardMs);
          return [r.id, r.zone, r.position, behind, heard, r.operatorAddress];
        }),
      ),
    ),
  ({ drained }) => [`Drained servers: ${drained.join(", ") || "none"}`],
  ({ confirmedLost }) => [
    `VMs confirmed as lost: ${confirmedLost.join(", ") || "none"}`,
  ],
];

/** Formats a state as lines. */
export function formatState(state: State): string[] {
  const log = state.logFresh
    ? "the log has been read to its end"
    : "the log cannot be read now, so newer changes may be missing";
  const head = `As seen by ${state.node} in ${state.zone || "no zone"}, ` +
    `log position ${state.position}; ${log}.`;
  return [head, "", ...TABLES.flatMap((format) => format(state))];
}
