/** The newest word of a server counts, whoever heard it. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type NoticeReport, ServerNotices } from "../src/mod.js";

const SERVER = { id: "i-1", born: 5 };
const LIMIT = { requestsPerSecond: 2, isLeaving: false };
const NO_LIMIT = { isLeaving: false };

interface NoticeCase {
  readonly title: string;
  readonly run: (notices: ServerNotices) => void;
  readonly limit: number | undefined;
}

const CASES: readonly NoticeCase[] = [
  {
    title: "a server without a word has no limit",
    run: (notices) => notices.record(SERVER, NO_LIMIT, 0),
    limit: undefined,
  },
  {
    title: "a limit lasts until an answer comes",
    run: (notices) => {
      notices.record(SERVER, LIMIT, 0);
      notices.retain(() => SERVER.born, 300_000);
    },
    limit: 2,
  },
  {
    title: "a response without a limit ends it",
    run: (notices) => {
      notices.record(SERVER, LIMIT, 0);
      notices.record(SERVER, NO_LIMIT, 100);
    },
    limit: undefined,
  },
  {
    title: "a later report ends it",
    run: (notices) => {
      notices.record(SERVER, LIMIT, 0);
      notices.merge([{ server: "i-1", born: 5, ageMs: 20 }], 100);
    },
    limit: undefined,
  },
  {
    title: "an older report does not end it",
    run: (notices) => {
      notices.record(SERVER, LIMIT, 100);
      notices.merge([{ server: "i-1", born: 5, ageMs: 80 }], 150);
    },
    limit: 2,
  },
  {
    title: "a late response of an earlier process does not count",
    run: (notices) => {
      notices.record(SERVER, LIMIT, 0);
      notices.record({ ...SERVER, born: 4 }, NO_LIMIT, 100);
    },
    limit: 2,
  },
  {
    title: "a restart ends it",
    run: (notices) => {
      notices.record(SERVER, LIMIT, 0);
      notices.retain(() => 6, 100);
    },
    limit: undefined,
  },
  {
    title: "a server whose entry is missing for a while keeps it",
    run: (notices) => {
      notices.record(SERVER, LIMIT, 0);
      notices.retain(() => undefined, 10_000);
    },
    limit: 2,
  },
  {
    title: "a server that is gone is forgotten",
    run: (notices) => {
      notices.record(SERVER, LIMIT, 0);
      notices.retain(() => undefined, 100_000);
    },
    limit: undefined,
  },
];

for (const { title, run, limit } of CASES) {
  test(`limits of servers: ${title}`, () => {
    const notices = new ServerNotices();
    run(notices);
    assert.equal(notices.getLimit("i-1"), limit);
  });
}

const REPORT: fc.Arbitrary<NoticeReport> = fc.record({
  server: fc.constant("i-1"),
  born: fc.integer({ min: 1, max: 3 }),
  requestsPerSecond: fc.integer({ min: 1, max: 9 }),
  ageMs: fc.integer({ min: 0, max: 5_000 }),
  leavingMs: fc.integer({ min: 0, max: 5_000 }),
});

interface LeavingCase {
  readonly title: string;
  readonly run: (notices: ServerNotices) => void;
  /** Time for which the server has been leaving at 1,000 ms. */
  readonly leavingMs: number | undefined;
}

const LEAVING = { isLeaving: true };
const LEAVING_CASES: readonly LeavingCase[] = [
  {
    title: "a word lasts, also after a response without it",
    run: (notices) => {
      notices.record(SERVER, LEAVING, 0);
      notices.record(SERVER, NO_LIMIT, 500);
    },
    leavingMs: 1_000,
  },
  {
    title: "the earliest word counts",
    run: (notices) => {
      notices.record(SERVER, LEAVING, 500);
      notices.merge([
        { server: "i-1", born: 5, ageMs: 100, leavingMs: 300 },
      ], 600);
    },
    leavingMs: 700,
  },
  {
    title: "an older report of it counts beside a newer limit",
    run: (notices) => {
      notices.record(SERVER, LIMIT, 500);
      notices.merge([
        { server: "i-1", born: 5, ageMs: 300, leavingMs: 300 },
      ], 600);
    },
    leavingMs: 700,
  },
  {
    title: "a new process under the same id does not leave",
    run: (notices) => notices.record({ ...SERVER, born: 4 }, LEAVING, 0),
    leavingMs: undefined,
  },
  {
    title: "it outlasts a missing entry",
    run: (notices) => {
      notices.record(SERVER, LEAVING, 0);
      notices.retain(() => undefined, 900);
    },
    leavingMs: 1_000,
  },
];

for (const { title, run, leavingMs } of LEAVING_CASES) {
  test(`servers that leave: ${title}`, () => {
    const notices = new ServerNotices();
    run(notices);
    assert.equal(notices.getLeavingMs(SERVER, 1_000), leavingMs);
  });
}

interface PauseCase {
  readonly title: string;
  readonly run: (notices: ServerNotices) => void;
  /** Rest of the pause at 1,000 ms. */
  readonly pauseMs: number;
}

const PAUSE_CASES: readonly PauseCase[] = [
  { title: "none", run: () => {}, pauseMs: 0 },
  {
    title: "it ends",
    run: (n) => n.recordPause(SERVER, { pauseMs: 900, nowMs: 0 }),
    pauseMs: 0,
  },
  {
    title: "a shorter one does not end a longer one",
    run: (n) => {
      n.recordPause(SERVER, { pauseMs: 3_000, nowMs: 0 });
      n.recordPause(SERVER, { pauseMs: 100, nowMs: 900 });
    },
    pauseMs: 2_000,
  },
  {
    title: "a response does not end it",
    run: (n) => {
      n.recordPause(SERVER, { pauseMs: 3_000, nowMs: 0 });
      n.record(SERVER, NO_LIMIT, 500);
    },
    pauseMs: 2_000,
  },
  {
    title: "that of an earlier process",
    run: (n) =>
      n.recordPause({ ...SERVER, born: 4 }, { pauseMs: 3_000, nowMs: 0 }),
    pauseMs: 0,
  },
];

for (const { title, run, pauseMs } of PAUSE_CASES) {
  test(`pauses of servers: ${title}`, () => {
    const notices = new ServerNotices();
    run(notices);
    assert.equal(notices.getPauseMs(SERVER, 1_000), pauseMs);
  });
}

test("order, repeats and age of reports do not matter", () => {
  fc.assert(fc.property(
    fc.uniqueArray(REPORT, {
      selector: (r) => `${r.born} ${r.ageMs}`,
      maxLength: 12,
    }),
    fc.infiniteStream(fc.nat()),
    (reports, order) => {
      const inOrder = new ServerNotices();
      inOrder.merge(reports, 0);
      const shuffled = [...reports, ...reports]
        .map((report) => ({ report, at: order.next().value }))
        .sort((a, b) => a.at - b.at)
        .map(({ report }) => report);
      const inDisorder = new ServerNotices();
      for (const report of shuffled) inDisorder.merge([report], 0);
      assert.deepEqual(inDisorder.listReports(0), inOrder.listReports(0));
    },
  ));
});

// Guards against a word that the coordinator never hears, because another word
// of the same server came in between.
test("a router reports that a server leaves beside a newer limit", () => {
  const notices = new ServerNotices();
  notices.record(SERVER, LEAVING, 0);
  notices.merge(
    [{ server: "i-1", born: 5, requestsPerSecond: 2, ageMs: 10 }],
    100,
  );
  assert.deepEqual(notices.takeReports(100), [
    { server: "i-1", born: 5, requestsPerSecond: 2, ageMs: 10, leavingMs: 100 },
  ]);
});

test("a router reports what it has heard itself, once", () => {
  const notices = new ServerNotices();
  notices.merge(
    [{ server: "i-2", born: 1, requestsPerSecond: 3, ageMs: 0 }],
    0,
  );
  notices.record(SERVER, LIMIT, 100);
  const report = { server: "i-1", born: 5, requestsPerSecond: 2, ageMs: 50 };
  assert.deepEqual(notices.takeReports(150), [report]);
  assert.deepEqual(notices.takeReports(200), []);
  assert.equal(notices.listReports(200).length, 2);
});
