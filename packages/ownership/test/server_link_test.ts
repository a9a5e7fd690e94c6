/** Tests of the holder's view of a server's leases. @module */
import type { GrantReply, GrantRequest, UnitId } from "@jaytiller/model";
import { Token } from "@jaytiller/model";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GrantOutcome, ServerLink } from "../src/server_link.js";
import { DEFAULT_TIMING } from "../src/timing.js";

const TOKEN = Token.of(3);
const UNIT: UnitId = "s:1";

function createLink(): ServerLink {
  const timing = DEFAULT_TIMING;
  return new ServerLink({ id: "s0", url: "http://s0", timing, now: 0 });
}

function grant(link: ServerLink, units: UnitId[], now: number): GrantRequest {
  const group = "desk/za";
  return link.makeGrant({ group, holder: "r0", token: TOKEN, units, now });
}

function answer(
  request: GrantRequest,
  fields: Partial<GrantReply> & { atMs: number },
): GrantReply {
  return {
    accepted: true,
    token: request.token,
    seq: request.seq,
    incarnation: "one",
    draining: false,
    running: 0,
    busyUnits: [],
    load: 0,
    ...fields,
  };
}

/** Creates a link to a server that holds `UNIT` and last replied at time 10. */
function createGrantedLink(): ServerLink {
  const link = createLink();
  const first = grant(link, [UNIT], 0);
  link.handleReply(answer(first, { atMs: 1_000 }), first.seq, 5);
  const second = grant(link, [UNIT], 6);
  link.handleReply(answer(second, { atMs: 1_005 }), second.seq, 10);
  return link;
}

/** Guards against a first grant that extends a lease of unknown age. */
test("the first grant has no basis and gives no lease", () => {
  const link = createLink();
  const request = grant(link, [UNIT], 0);
  assert.equal(request.basis, null);
  link.handleReply(answer(request, { atMs: 1_000 }), request.seq, 5);
  assert.equal(link.isServing(UNIT, 6), false);
  // The server may still hold a lease of an earlier holder.
  assert.equal(link.hasReleased(UNIT), false);
});

/**
 * Guards against a lease that becomes too long because a paused server
 * processes the renewal late.
 */
test("a renewal that is processed late does not extend the lease", () => {
  const link = createGrantedLink();
  const late = grant(link, [UNIT], 100);
  assert.deepEqual(late.basis, { incarnation: "one", atMs: 1_005 });
  // The server processed the renewal 400 ms after the clock reading in its
  // basis.
  link.handleReply(answer(late, { atMs: 1_405 }), late.seq, 410);
  assert.equal(link.isServing(UNIT, 429), true);
  assert.equal(link.isServing(UNIT, 430), false);
});

/**
 * Guards against a move while a grant may have arrived whose reply was lost.
 */
test("a lost reply leaves the unit possibly granted", () => {
  const link = createLink();
  const first = grant(link, [], 0);
  link.handleReply(answer(first, { atMs: 1_000 }), first.seq, 5);
  assert.equal(link.hasReleased(UNIT), true);
  const lost = grant(link, [UNIT], 6);
  link.handleFailure(lost.seq);
  assert.equal(link.hasReleased(UNIT), false);
  const release = grant(link, [], 110);
  link.handleReply(answer(release, { atMs: 1_120 }), release.seq, 120);
  assert.equal(link.hasReleased(UNIT), true);
});

/** Guards against a move while a request for the unit is still running. */
test("a busy unit is not released", () => {
  const link = createGrantedLink();
  const release = grant(link, [], 100);
  const reply = answer(release, { atMs: 1_100, busyUnits: [UNIT] });
  link.handleReply(reply, release.seq, 105);
  assert.equal(link.hasReleased(UNIT), false);
});

/** Guards against assuming that leases have expired too early or too late. */
test("leases expire one lease plus margin after the last reply", () => {
  const link = createGrantedLink();
  const { leaseMs, leaseMarginMs } = DEFAULT_TIMING;
  assert.equal(link.allLeasesExpireAt, 10 + leaseMs + leaseMarginMs);
  const silent = grant(link, [UNIT], 100);
  link.handleFailure(silent.seq);
  assert.equal(link.allLeasesExpireAt, 10 + leaseMs + leaseMarginMs);
});

/** Guards against treating a restarted server as if it had its old grants. */
test("a restarted server holds no units until they are granted again", () => {
  const link = createGrantedLink();
  const request = grant(link, [UNIT], 100);
  const reply = answer(request, { atMs: 3, incarnation: "two" });
  const outcome = link.handleReply(reply, request.seq, 105);
  assert.equal(outcome, GrantOutcome.Restarted);
  assert.equal(link.isServing(UNIT, 106), false);
  assert.equal(link.isDue([UNIT], 106), true);
  const next = grant(link, [UNIT], 106);
  assert.deepEqual(next.basis, { incarnation: "two", atMs: 3 });
});

/** Guards against a holder that continues with a superseded token. */
test("a refusal with a higher token supersedes the holder", () => {
  const link = createLink();
  const request = grant(link, [], 0);
  const refusal = { accepted: false, atMs: 1, token: "3.1" };
  const outcome = link.handleReply(answer(request, refusal), request.seq, 5);
  assert.equal(outcome, GrantOutcome.Superseded);
});
