import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RoutePath } from '../platform/SampleConfiguration.js';
import type { Attempt } from './GuaranteeChecker.js';
import { checkLosses, type LossEvidence, type LossReport } from './LossChecker.js';

interface LossesWorld {
  lostAttempt: Attempt;
  isPassedOn: boolean;
  lossFaults: Partial<LossEvidence>;
  lossReport: LossReport;
}

const SENT_AT = 10_000;
const DEADLINE_MS = 10_000;
const INSTANCE = 'router-a';
const SERVER = 'engine-a-1';

interface End {
  readonly status: number;
  readonly isComplete?: boolean;
  readonly lastedMs: number;
  readonly isPassedOn?: boolean;
  readonly isConnected?: boolean;
}

const ENDS: Readonly<Record<string, End>> = {
  'is answered completely': { status: 200, isComplete: true, lastedMs: 2000 },
  'is refused': { status: 503, isComplete: true, lastedMs: 2000 },
  'is told that its server is lost': { status: 502, isComplete: true, lastedMs: 2000 },
  'is cut off after 2 s': { status: 200, lastedMs: 2000 },
  'is cut off at its deadline': { status: 200, lastedMs: DEADLINE_MS },
  'is without an answer after 0.05 s': { status: 0, lastedMs: 50 },
  'is without an answer after 10.5 s': { status: 0, lastedMs: DEADLINE_MS + 500 },
  'is not read': { status: 0, lastedMs: 50, isPassedOn: false },
  'is not connected': { status: 0, lastedMs: 2000, isPassedOn: false, isConnected: false },
  'is not passed on, and closed later': { status: 0, lastedMs: 2000, isPassedOn: false },
};

const AROUND = { at: SENT_AT - 1000, endedAt: SENT_AT + 1000 };

/** The stop begins so that 2 s after `SENT_AT` lie in the last sixth of its grace of 5 s. */
const LATE_STOP = { at: SENT_AT - 2500, endedAt: SENT_AT + 2500 };

const KILL = { instance: INSTANCE, isPlanned: false };

const FAULTS: Readonly<Record<string, Partial<LossEvidence>>> = {
  'no fault': {},
  'a silence of its server': { silences: [{ server: SERVER, ...AROUND }] },
  'a stall of the soak': { stalls: [{ at: SENT_AT, endedAt: SENT_AT + 1900 }] },
  'a silence of another server': { silences: [{ server: 'engine-b-1', ...AROUND }] },
  'a kill of its instance': { disruptions: [{ ...KILL, ...AROUND }] },
  'a kill of another instance': { disruptions: [{ ...KILL, instance: 'router-b', ...AROUND }] },
  'an early kill of its instance': { disruptions: [{ ...KILL, at: 5000, endedAt: 6900 }] },
  'a crash of a server of its service': { interruptions: [{ service: 'engine', ...AROUND }] },
  'a crash of a server of another service': { interruptions: [{ service: 'plain', ...AROUND }] },
  'a stop of its instance': { disruptions: [{ ...KILL, isPlanned: true, ...AROUND }] },
  'a stop of its instance at the end of its grace': {
    disruptions: [{ ...KILL, isPlanned: true, ...LATE_STOP }],
  },
};

Given(/^a request that (is .+)$/, function send(this: LossesWorld, name: string) {
  const {
    status,
    isComplete = false,
    lastedMs,
    isPassedOn = true,
    isConnected = true,
  } = ENDS[name];
  this.isPassedOn = isPassedOn;
  this.lostAttempt = {
    id: 'a1',
    instance: INSTANCE,
    path: RoutePath.Stream,
    key: 'key-1',
    sentAt: SENT_AT,
    endedAt: SENT_AT + lastedMs,
    deadlineMs: DEADLINE_MS,
    events: 12,
    isConnected,
    status,
    isSigned: true,
    isComplete,
    body: '',
  };
});

Given(/^(.+) around it$/, function disturb(this: LossesWorld, fault: string) {
  this.lossFaults = FAULTS[fault];
});

When('the losses are checked', function check(this: LossesWorld) {
  const arrival = {
    id: 'a1',
    at: SENT_AT + 1,
    saidLeaving: false,
    wasRefused: false,
    pauseMs: undefined,
    incarnation: 1,
  };
  this.lossReport = checkLosses({
    attempts: [this.lostAttempt],
    servers: [{ id: SERVER, arrivals: this.isPassedOn ? [arrival] : [] }],
    silences: [],
    disruptions: [],
    interruptions: [],
    stalls: [],
    ...this.lossFaults,
  });
});

Then(
  /^the request (was not lost|was lost|was lost within a silence)$/,
  function report(this: LossesWorld, verdict: string) {
    const { violations, requestsInSilence } = this.lossReport;
    assert.equal(violations.length, verdict.startsWith('was lost') ? 1 : 0, violations.join('\n'));
    assert.equal(requestsInSilence, verdict.endsWith('within a silence') ? 1 : 0);
  },
);
