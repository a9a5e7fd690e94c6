/** The view of servers from the store's feed and the coordinator's beats. */
import { EventLog } from "@jaytiller/kernel";
import {
  type ServerChange,
  type ServerEntry,
  ServerState,
} from "@jaytiller/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Beat, type BeatAnswer, PeerMethod } from "../src/beat.js";
import { FeedReader } from "../src/feed_reader.js";
import { Knowledge } from "../src/knowledge.js";
import { Member } from "../src/member.js";
import { type PlatformStore, StoreEnd } from "../src/ports.js";
import { StatsBook } from "../src/stats_book.js";

const SELF = {
  node: "r-1",
  incarnation: "a",
  address: "h:1",
  zone: "z",
  cores: 1,
};
const LEADER = { ...SELF, node: "r-2", incarnation: "b", address: "h:2" };
const LOG = EventLog.create({
  node: "r-1",
  fd: 2,
  routinePerSecond: 0,
  maxPendingBytes: 0,
});

function makeEntry(id: string, sequence: number): ServerEntry {
  return {
    id,
    born: 1,
    service: "s",
    address: "h:1",
    zone: "z",
    slots: 2,
    state: ServerState.Ready,
    sequence,
  };
}

/** A feed of servers; every other call is refused. */
class FeedStandIn implements PlatformStore {
  readonly records: ServerChange[] = [];

  readServers({ position }: { position?: number }) {
    const end = this.records.length;
    const isSnapshot = position === undefined;
    const items = isSnapshot
      ? this.#listNewest()
      : this.records.slice(position);
    const value = { items, position: end, isSnapshot };
    return Promise.resolve({ end: StoreEnd.Done, value });
  }

  #listNewest(): readonly ServerChange[] {
    const newest = new Map(this.records.map((c) => [c.id, c]));
    return [...newest.values()].filter((c) => c.entry);
  }

  readConfiguration() {
    return Promise.resolve({ end: StoreEnd.Refused });
  }

  readOwnership() {
    return Promise.resolve({ end: StoreEnd.Refused });
  }

  appendOwnership() {
    return Promise.resolve({ end: StoreEnd.Refused });
  }
}

function makeRouter(heartbeatMs = 1_000) {
  const store = new FeedStandIn();
  const knowledge = new Knowledge();
  const reader = new FeedReader(store, knowledge, { log: LOG, heartbeatMs });
  const member = new Member({
    self: SELF,
    knowledge,
    stats: new StatsBook(),
    reader,
    store,
    log: LOG,
    lead: () => {
      throw new Error("This router has no reason to lead");
    },
  });
  const take = member.makeMethods()[PeerMethod.Beat]!;
  return { store, knowledge, reader, take: (b: Beat) => take(b) as BeatAnswer };
}

function makeBeat(
  position: number,
  servers: Beat["servers"] | undefined,
): Beat {
  return {
    term: 1,
    coordinator: LEADER,
    routers: 2,
    configurationAgeMs: 0,
    serversAgeMs: 0,
    serversPosition: position,
    ...(servers ? { servers } : {}),
  };
}

function listIds(knowledge: Knowledge): string {
  return knowledge.servers.list().map((e) => e.id).sort().join(",");
}

test("an own read does not undo what the coordinator has told since", async () => {
  const { store, knowledge, reader, take } = makeRouter();
  store.records.push({ id: "i-1", entry: makeEntry("i-1", 1) });
  await reader.readServers();
  // The entry runs out and returns; this router learns both from a beat.
  const returned = makeEntry("i-1", 5);
  store.records.push({ id: "i-1" }, { id: "i-1", entry: returned });
  const items = [{ id: "i-1", entry: returned }];
  take(makeBeat(3, { base: 0, number: 1, items }));
  await reader.readServers();
  assert.equal(listIds(knowledge), "i-1");
});

test("a removal that the coordinator held back is seen by its successor", async () => {
  const { store, knowledge, reader, take } = makeRouter();
  const entries = ["i-1", "i-2"].map((id) => ({ id, entry: makeEntry(id, 1) }));
  store.records.push(...entries);
  take(makeBeat(2, { base: 0, number: 1, items: entries }));
  await reader.readServers();
  store.records.push({ id: "i-2" });
  // The beat stands for the whole feed, but for the removal.
  take(makeBeat(3, { base: 0, number: 2, items: entries }));
  await reader.readServers();
  assert.equal(listIds(knowledge), "i-1");
});

test("news that follow on another view than this router's are not taken", async () => {
  const { store, knowledge, reader, take } = makeRouter(0);
  const first = { id: "i-1", entry: makeEntry("i-1", 1) };
  store.records.push(first);
  const told = take(makeBeat(1, { base: 0, number: 1, items: [first] }));
  assert.equal(told.serversNumber, 1);
  // The router's own read drops a server that the coordinator keeps.
  store.records.push({ id: "i-1" });
  knowledge.applyServers([{ id: "i-1" }], { position: 2, atMs: 0 });
  await reader.readServers();
  const second = { id: "i-2", entry: makeEntry("i-2", 1) };
  const answer = take(makeBeat(4, { base: 1, number: 2, items: [second] }));
  assert.notEqual(answer.serversNumber, 2, "the coordinator has to send all");
  const items = [first, second];
  assert.equal(
    take(makeBeat(4, { base: 0, number: 3, items })).serversNumber,
    3,
  );
  assert.equal(listIds(knowledge), "i-1,i-2");
});
