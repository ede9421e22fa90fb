/** Slot messages between an entry and an agent: datagrams that may be lost. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import { SlotClient } from '../../src/peers/slot-client.js';
import { SlotServer } from '../../src/peers/slot-server.js';
import { DatagramEndpoint } from '../../src/protocol/datagrams.js';
import type { Message } from '../../src/protocol/messages.js';
import { createConnectionContext, until } from '../support.js';

const WISH = {
  urgency: 0,
  waitedFor: 0,
  patience: 60_000,
  slots: 1,
  rateLimit: undefined,
  inTimeFor: 200,
  promptTokens: 0,
};

let address: string;
let heard: Message[];
let entryAddress: string;
/** Plays the other side: records everything and sends what a test needs. */
let other: DatagramEndpoint;
let client: SlotClient;

function heardOf<T extends Message['type']>(type: T): Array<Extract<Message, { type: T }>> {
  return heard.filter((message): message is Extract<Message, { type: T }> => message.type === type);
}

function answers(note: (what: string) => void) {
  return {
    onGranted: () => note('granted'),
    onQueued: () => note('queued'),
    onRefused: () => note('refused'),
    onUnready: () => note('unready'),
  };
}

beforeEach(async () => {
  [address, entryAddress] = [await freeAddress(), await freeAddress()];
  heard = [];
  other = new DatagramEndpoint(address, (await createConnectionContext('agent')).context, (message) => {
    heard.push(message);
  });
  await other.start();
  client = new SlotClient(entryAddress, (await createConnectionContext('entry')).context, seededRandom(3));
  await client.start();
});

afterEach(async () => {
  await client.stop();
  await other.stop();
});

it('an agent that refuses a request tells when it expects a slot for such a request, if it predicts that', async () => {
  const expected: Array<number | undefined> = [];
  for (let number = 0; number < 2; number++) {
    client.ask(address, WISH, {
      ...answers(() => {}),
      onRefused: (availableIn) => expected.push(availableIn),
    });
  }
  await until(() => heardOf('slotAsked').length === 2, 'both to be asked');
  const [one, two] = heardOf('slotAsked');
  other.send(entryAddress, { type: 'slotRefused', id: one.id, availableIn: 700 });
  await until(() => expected.length === 1, 'the first answer');
  other.send(entryAddress, { type: 'slotRefused', id: two.id, availableIn: undefined });
  await until(() => expected.length === 2, 'the second answer');
  expect(expected).toEqual([700, undefined]);
});

it('an entry repeatedly states which claims are open and which have ended', async () => {
  const claims = [1, 2].map(() =>
    client.ask(
      address,
      WISH,
      answers(() => {}),
    ),
  );
  await until(() => heardOf('slotsStated').some(({ waiting }) => waiting.length === 2), 'both that wait');
  const [{ id }] = heardOf('slotAsked');
  other.send(entryAddress, { type: 'slotGranted', id, isLimited: false });
  await until(() => heardOf('slotsStated').some(({ held }) => held.length === 1), 'the one with a slot');
  for (const claim of claims) claim.release(true);
  await until(() => {
    const latest = heardOf('slotsStated').at(-1)!;
    return latest.held.length + latest.waiting.length === 0;
  }, 'nothing to be open');
});

it('an entry that stops finally states that nothing is open', async () => {
  for (let place = 0; place < 3; place++)
    client.ask(
      address,
      WISH,
      answers(() => {}),
    );
  await until(() => heardOf('slotAsked').length === 3, 'the questions');
  const [{ id }] = heardOf('slotAsked');
  other.send(entryAddress, { type: 'slotGranted', id, isLimited: false });
  await until(() => heardOf('slotsStated').some(({ held }) => held.length === 1), 'the grant');
  await client.stop();
  await until(() => {
    const latest = heard.at(-1)!;
    return latest.type === 'slotsStated' && latest.held.length + latest.waiting.length === 0;
  }, 'its last word');
  expect(heardOf('slotsStated').at(-1)).toMatchObject({ next: 3 });
});

it('a slot that is granted twice is used once', async () => {
  const received: string[] = [];
  client.ask(
    address,
    WISH,
    answers((what) => received.push(what)),
  );
  await until(() => heardOf('slotAsked').length === 1, 'the question');
  const [{ id }] = heardOf('slotAsked');
  for (let time = 0; time < 2; time++)
    other.send(entryAddress, { type: 'slotGranted', id, isLimited: false });
  other.send(entryAddress, { type: 'slotQueued', id });
  await until(() => received.includes('queued'), 'the answers');
  expect(received).toEqual(['granted', 'queued']);
  expect(heardOf('slotReleased')).toEqual([]);
});

it('the slot of an entry that disappears is granted to the next waiting entry', async () => {
  const agentAddress = await freeAddress();
  const agent = new SlotServer(agentAddress, (await createConnectionContext('agent')).context, silentLog);
  await agent.start();
  agent.observe({ isServing: true, load: 0 });
  other.send(agentAddress, { type: 'slotAsked', id: 1, ...WISH });
  await until(() => heardOf('slotGranted').length === 1, 'the slot of the first');
  const received: string[] = [];
  client.ask(
    agentAddress,
    WISH,
    answers((what) => received.push(what)),
  );
  await until(() => received.includes('queued'), 'the second to wait');
  // The first entry sends nothing more.
  await until(() => received.includes('granted'), 'the second to have the slot');
  await agent.stop();
});

it('an entry reports an answer with a rate limit, and one without if the agent knows of a limit', async () => {
  const claims = [1, 2, 3].map(() =>
    client.ask(
      address,
      WISH,
      answers(() => {}),
    ),
  );
  await until(() => heardOf('slotAsked').length === 3, 'the questions');
  for (const [index, { id }] of heardOf('slotAsked').entries())
    other.send(entryAddress, { type: 'slotGranted', id, isLimited: index === 2 });
  await until(() => heardOf('slotsStated').some(({ held }) => held.length === 3), 'the grants');
  const [named, unlimited, limited] = heardOf('slotAsked').map(({ id }) => id);
  claims[0].noteAnswer(3.5);
  claims[1].noteAnswer(undefined);
  claims[2].noteAnswer(undefined);
  for (const claim of claims) claim.release(true);
  await until(() => heardOf('slotReleased').length === 3, 'the releases');
  const reported = heardOf('slotAnswered').map(({ id, rateLimit }) => [id, rateLimit ?? undefined]);
  expect(reported).toEqual([
    [named, 3.5],
    [limited, undefined],
  ]);
  expect(reported.flat()).not.toContain(unlimited);
});

it('an entry reports once that a prompt has been read if the agent asks for it, and not after the release', async () => {
  const claims = [1, 2, 3].map(() =>
    client.ask(
      address,
      WISH,
      answers(() => {}),
    ),
  );
  await until(() => heardOf('slotAsked').length === 3, 'the questions');
  const ids = heardOf('slotAsked').map(({ id }) => id);
  for (const [index, id] of ids.entries())
    other.send(entryAddress, { type: 'slotGranted', id, isLimited: false, isLimitedByWork: index > 0 });
  await until(() => heardOf('slotsStated').some(({ held }) => held.length === 3), 'the grants');
  claims[0].notePromptRead();
  claims[1].notePromptRead();
  for (const claim of claims) claim.release(true);
  claims[2].notePromptRead();
  await until(() => heardOf('slotReleased').length === 3, 'the releases');
  expect(heardOf('slotPromptRead').map(({ id }) => id)).toEqual([ids[1]]);
});

it('an agent grants the next slot when an entry reports that the prompt before has been read', async () => {
  const agentAddress = await freeAddress();
  const agent = new SlotServer(agentAddress, (await createConnectionContext('agent')).context, silentLog);
  await agent.start();
  // The first prompt is read in 1.6 s.
  const declaredPace = { readTokensPerSecond: 1_000, tokenTime: 8 };
  agent.observe({ isServing: true, load: 0, declaredPace });
  const received: string[] = [];
  const wish = { ...WISH, slots: 4, promptTokens: 1_600 };
  const ask = (name: string) =>
    client.ask(
      agentAddress,
      wish,
      answers((what) => received.push(`${name} ${what}`)),
    );
  const first = ask('first');
  await until(() => received.includes('first granted'), 'the first grant');
  const second = ask('second');
  await until(() => received.includes('second queued'), 'the second to wait');
  const askedAt = performance.now();
  first.notePromptRead();
  await until(() => received.includes('second granted'), 'the second grant');
  expect(performance.now() - askedAt).toBeLessThan(1_000);
  for (const claim of [first, second]) claim.release(true);
  await agent.stop();
});

it('a restarted agent applies the rate limit that entries know until the engine has answered', async () => {
  const agentAddress = await freeAddress();
  const agent = new SlotServer(agentAddress, (await createConnectionContext('agent')).context, silentLog);
  await agent.start();
  agent.observe({ isServing: true, load: 0 });
  expect(agent.rateLimit).toBeUndefined();
  const received: string[] = [];
  const wish = { ...WISH, slots: 4, rateLimit: 5 };
  const note = (what: string) => received.push(what);
  const claim = client.ask(agentAddress, wish, answers(note));
  await until(() => received.includes('granted'), 'the grant');
  expect(received[0]).toBe('queued');
  expect(agent.rateLimit).toBe(5);
  claim.noteAnswer(undefined);
  await until(() => agent.rateLimit === undefined, 'the limit to be lifted');
  client.ask(agentAddress, wish, answers(note));
  await until(() => received.filter((what) => what === 'granted').length === 2, 'the next grant');
  expect(agent.rateLimit).toBeUndefined();
  await agent.stop();
});
