/** Tests of claims, permits, fencing, handover and authority. @module */
import { rankNodes, RecordKind, Token } from "@jaytiller/model";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Action,
  ActionKind,
  CLAIM_RANK_DELAY_MS,
  DEFAULT_TIMING,
  Role,
} from "../src/mod.js";
import { GROUP, GroupHarness } from "./group_harness.js";

const { suspectAfterMs, authorityMs } = DEFAULT_TIMING;

function hasClaim(actions: readonly Action[]): boolean {
  return actions.some((a) =>
    a.kind === ActionKind.Append && a.record.kind === RecordKind.Claim
  );
}

/** Creates a follower `r0` of the holder `r1`, whose claim is in the log. */
function createFollower(): { h: GroupHarness; token: Token } {
  const h = new GroupHarness();
  const claim = { kind: RecordKind.Claim, group: GROUP, supersedes: -1 };
  const token = Token.of(h.append(claim, "r1"));
  h.receiveHeartbeat("r1");
  h.tick();
  return { h, token };
}

function makePermit(token: Token, position: number) {
  const view = { group: GROUP, token: token.toString(), holder: "r1" };
  return { permits: [view], holds: [view], position };
}

/** Creates a holder `r0` that cannot read the log and gave `r1` a permit. */
function createPermitIssuer(): GroupHarness {
  const h = new GroupHarness({ checks: false });
  h.claim();
  h.receiveHeartbeat("r1");
  h.run(40);
  h.logFresh = false;
  h.tick(10);
  h.receiveHeartbeat("r1");
  assert.equal(h.holder.issuePermit(h.now), "r1");
  return h;
}

/** Returns peers of which `rank` are ranked before `r0` and one after it. */
function findPeers(rank: number): string[] {
  const ids = Array.from({ length: 40 }, (_, i) => `p${i}`);
  const ranked = rankNodes(GROUP, ["r0", ...ids]);
  const ownRank = ranked.indexOf("r0");
  return [
    ...ranked.slice(ownRank - rank, ownRank),
    ...ranked.slice(ownRank + 1, ownRank + 2),
  ];
}

for (const rank of [0, 1, 2]) {
  /** Guards against several candidates that claim a group at the same time. */
  test(`a candidate of rank ${rank} waits for those before it`, () => {
    const peers = findPeers(rank);
    const h = new GroupHarness({ peers });
    for (const p of peers) h.receiveHeartbeat(p);
    const claimedAt = [];
    for (let t = 0; t <= 400; t += 10) {
      for (const p of peers) h.receiveHeartbeat(p);
      if (hasClaim(h.tick(10))) claimedAt.push(t);
    }
    assert.deepEqual(claimedAt, [rank * CLAIM_RANK_DELAY_MS]);
  });
}

/** Guards against claiming a group whose holder is working. */
test("a group is claimed when its holder has been silent", () => {
  const { h } = createFollower();
  assert.equal(hasClaim(h.tick(suspectAfterMs)), false);
  assert.equal(hasClaim(h.tick(1)), true);
});

/** Guards against a claim by a router that cannot read the log. */
test("without the log nothing is claimed", () => {
  const { h } = createFollower();
  h.logFresh = false;
  assert.equal(hasClaim(h.tick(1_000)), false);
});

/** Guards against two holders after concurrent claims. */
test("the first claim in the log wins", () => {
  const h = new GroupHarness();
  const actions = h.tick(300);
  assert.equal(hasClaim(actions), true);
  const other = { kind: RecordKind.Claim, group: GROUP, supersedes: -1 };
  h.append(other, "r1");
  h.appendRecords(actions);
  h.receiveHeartbeat("r1");
  h.tick(1);
  assert.equal(h.holder.role, Role.Follower);
  assert.equal(h.holder.getView()?.holder, "r1");
});

/** Guards against a takeover without the log while the holder is working. */
test("a permit is used only once its issuer is suspected", () => {
  const { h, token } = createFollower();
  h.logFresh = false;
  h.receiveHeartbeat("r1", makePermit(token, h.state.position));
  h.tick(suspectAfterMs);
  assert.equal(h.holder.role, Role.Follower);
  h.tick(1);
  assert.equal(h.holder.role, Role.Holder);
  assert.deepEqual(h.getToken(), token.nextBallot());
});

/** Guards against a standby that grants units to their previous owners. */
test("a permit is not used with an older state than its issuer's", () => {
  const { h, token } = createFollower();
  h.logFresh = false;
  h.receiveHeartbeat("r1", makePermit(token, h.state.position + 1));
  h.tick(suspectAfterMs + 1);
  assert.equal(h.holder.role, Role.Follower);
});

/** Guards against a permit that is used after a takeover by another router. */
test("a permit below the highest known token is dropped", () => {
  const { h, token } = createFollower();
  h.logFresh = false;
  h.receiveHeartbeat("r1", makePermit(token, h.state.position));
  const higher = token.nextBallot().toString();
  h.peers.recordView({ group: GROUP, token: higher, holder: "r2" });
  h.tick(suspectAfterMs + 1);
  assert.equal(h.holder.role, Role.Follower);
});

/**
 * Guards against a holder that sends requests while a standby may use its
 * permit, because an old reply seems to show that the permit is withdrawn.
 */
test("a permit counts as withdrawn only by a reply to a later heartbeat", () => {
  const h = createPermitIssuer();
  h.logFresh = true;
  h.tick(100);
  // The reply was sent before the permit arrived at the peer.
  h.receivePeerReply("r1", { ageMs: 150 });
  assert.equal(h.holder.hasAuthority(h.now), false);
  h.receivePeerReply("r1");
  assert.equal(h.holder.hasAuthority(h.now), true);
});

/** Guards against two holders with the same ballot. */
test("a holder that gave a permit hands over to nobody else", () => {
  const h = new GroupHarness({ peers: ["r1", "r2"] });
  h.claim();
  for (const p of ["r1", "r2"]) h.receiveHeartbeat(p);
  h.run(40);
  h.logFresh = false;
  h.tick(10);
  for (const p of ["r1", "r2"]) h.receiveHeartbeat(p);
  const permitted = h.holder.issuePermit(h.now);
  assert.equal(h.holder.chooseSuccessor(h.now), permitted);
  h.now += suspectAfterMs + 1;
  h.receiveHeartbeat(permitted === "r1" ? "r2" : "r1");
  assert.equal(h.holder.chooseSuccessor(h.now), undefined);
});

/** Guards against sending requests after a takeover that is not in the log. */
test("a fresh log gives no authority while a peer holds a permit", () => {
  const h = createPermitIssuer();
  h.logFresh = true;
  h.tick(10);
  assert.equal(h.holder.hasAuthority(h.now), false);
  h.receivePeerReply("r1");
  assert.equal(h.holder.hasAuthority(h.now), true);
});

/** Guards against a paused holder that trusts the state of its last tick. */
test("authority ends with the age of the last read, not of the last tick", () => {
  const h = new GroupHarness({ checks: false });
  h.claim();
  h.run(40);
  const ctx = { ...h.makeContext(), logReadAt: h.now - authorityMs + 10 };
  h.holder.tick(ctx);
  assert.equal(h.holder.hasAuthority(h.now), true);
  assert.equal(h.holder.hasAuthority(h.now + 10), false);
});

/** Guards against a forced move while another router may renew the lease. */
test("a forced move waits until the lease expires and peers are fenced", () => {
  const h = new GroupHarness();
  h.claim();
  h.run(100);
  const lost = h.getOwner("s:0")!;
  h.run(1_500, [lost]);
  assert.equal(h.getOwner("s:0"), lost, "the peer is not fenced");
  h.receivePeerReply("r1");
  h.run(460, [lost]);
  assert.equal(h.getOwner("s:0"), lost, "the lease may still be valid");
  h.run(60, [lost]);
  assert.notEqual(h.getOwner("s:0"), lost);
});

/** Guards against units that wait for a VM that no longer exists. */
test("a peer that left the VM list need not be fenced", () => {
  const h = new GroupHarness();
  h.claim();
  h.run(100);
  const lost = h.getOwner("s:0")!;
  h.removeVm("r1");
  h.run(1_500, [lost]);
  assert.notEqual(h.getOwner("s:0"), lost);
});

/** Guards against a handover that reverts to an older token. */
test("a handover continues with the next ballot; an old one is refused", () => {
  const { h, token } = createFollower();
  const first = { token, knownSinceMs: 7 };
  h.holder.acceptHandover("r1", first);
  assert.deepEqual(h.getToken(), token.nextBallot());
  h.holder.acceptHandover("r1", first);
  assert.deepEqual(h.getToken(), token.nextBallot());
});

/** Guards against partitioned routers that supersede each other forever. */
test("claims that supersede each other back off", () => {
  const { h } = createFollower();
  const delays: number[] = [];
  for (let i = 0; i < 7; i++) {
    const supersedes = h.state.getClaim(GROUP)!.term;
    h.append({ kind: RecordKind.Claim, group: GROUP, supersedes }, "r1");
    const start = h.now;
    let actions: Action[] = [];
    while (!hasClaim(actions)) actions = h.tick(10);
    delays.push(h.now - start);
    h.appendRecords(actions);
    h.tick();
    assert.equal(h.holder.role, Role.Holder);
  }
  assert.ok(delays[0]! <= 300, `${delays}`);
  assert.ok(delays[6]! >= 4_000, `${delays}`);
});

/**
 * Guards against a stale holder that is confirmed by its own successor, which
 * restarted and no longer knows that it claimed the group.
 */
test("a peer that restarted since the last read gives no authority", () => {
  const h = new GroupHarness({ checks: false });
  const { holder, peers } = h;
  const confirm = (incarnation: string) =>
    peers.handleReply({
      from: "r1",
      incarnation,
      hlc: "",
      position: h.state.position,
      logFresh: false,
      superseded: [],
      permits: [],
      stopping: false,
    }, { now: h.now, sentAt: h.now });
  confirm("r1#1");
  h.claim();
  const logReadAt = h.now;
  h.now += 1_000;
  holder.tick({ ...h.makeContext(), logFresh: false, logReadAt });
  assert.equal(holder.hasAuthority(h.now), false);
  confirm("r1#1");
  assert.equal(holder.hasAuthority(h.now), true);
  confirm("r1#2");
  assert.equal(holder.hasAuthority(h.now), false);
});

/** Guards against a stale holder whose successor took over and was lost. */
test("a peer removed since the last read leaves no authority", () => {
  const h = new GroupHarness({ checks: false });
  h.claim();
  const logReadAt = h.now;
  const tick = (readAt: number) =>
    h.holder.tick({ ...h.makeContext(), logFresh: false, logReadAt: readAt });
  h.now += 1_000;
  h.removeVm("r1");
  tick(logReadAt);
  assert.equal(h.holder.hasAuthority(h.now), false);
  h.now += 1_000;
  tick(h.now - authorityMs);
  assert.equal(h.holder.hasAuthority(h.now), true);
});
