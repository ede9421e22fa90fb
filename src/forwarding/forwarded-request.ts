/**
 * One caller's request, from its arrival to its final answer: the back ends it is sent to one after the other, what of
 * their answers is passed on, and when it is given up.
 *
 * A request is sent again only where that is safe: after proof that it did not run, or where its route says that it may
 * run again. An answer is passed on only once its first part is there, so that a failure before that stays unseen.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import { BackEndSet } from '../fleet/back-end-identity.js';
import type { Standstills } from '../model/standstills.js';
import { LONGEST_RETURN } from '../systems/capacity-wait.js';
import type { Fingerprint } from '../systems/poison-requests.js';
import { type AdmittedRequest, admit, headersToSend, type RejectedRequest } from './admitted-request.js';
import { type AnswerHead, type AnswerSummary, Attempt, type AttemptFailure, wentOut } from './attempt.js';
import type { BackEndOutcome } from './back-end-health.js';
import type { Requirements, Selection } from './back-end-selector.js';
import { type BackEndRow, loadOf } from './back-end-table.js';
import { BackEndUse } from './back-end-use.js';
import { CallerAnswer } from './caller-answer.js';
import { type CallerBody, readCallerBody } from './caller-body.js';
import type { SlotClaim } from './engine-slots.js';
import { type ForwardingError, finalAnswer } from './forwarding-errors.js';
import type { ForwardingComponents } from './forwarding-server.js';
import { readRateLimit } from './rate-limit-notice.js';
import { fingerprintsOf } from './request-fingerprint.js';
import { outcomeAtTimeout, outcomeOf, outcomeOfError, type RequestOutcome } from './request-outcome.js';
import { RequestWait, type WaitingRequest } from './request-wait.js';
import { type Silence, silenceOf } from './silence.js';
import { SuspectContent } from './suspect-content.js';
import { TimeToEnd } from './time-to-end.js';

/** A new connection that is not there after this is given up, in milliseconds. */
const CONNECT_LIMIT = 400;
/**
 * A request that is refused comes back after this, in milliseconds times 1 to 2, or once a back end is to serve. Told to stay
 * away for as long as an overload had lasted, callers of a switch under load were served no more often, and after 2.4 s in place of
 * 1.3 s in the worst hundredth (the same day with both).
 */
const RETRY_AFTER = 400;
/** Time after which another process can have a request that this one has no time for, in seconds, times 1 to 2. */
const RETRY_ELSEWHERE = 0.05;
/** Repeatable requests are sent at most this often, whatever a route allows. */
const MOST_SENDS = 4;
const FIRST_FAILURE = 400;
const INTERNAL_ERROR = 500;
const MILLISECONDS = 1_000;

/** An attempt that has failed, as logs tell of it. */
interface FailedAttempt {
  backEnd: string;
  type: AttemptFailure['type'];
  reason: string;
  /** Time since the back end had sent anything of it, in milliseconds. */
  silentMs: number;
}

/** A request in progress. */
export class ForwardedRequest {
  readonly #components: ForwardingComponents;
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  /** When it arrived, in milliseconds of the steady clock. */
  readonly arrivedAt = performance.now();
  readonly #id: string;
  readonly #tried = new BackEndSet();
  /** Set before anything is sent. */
  #admitted!: AdmittedRequest;
  #timeToEnd!: TimeToEnd;
  #timer: NodeJS.Timeout | undefined;
  #body: CallerBody = { type: 'none' };
  readonly #content: SuspectContent;
  /** The attempt in progress and its back end. */
  #use: BackEndUse | undefined;
  #sends = 0;
  /** Back ends that may have run it. */
  #runs = 0;
  /** It has reached a back end, or may have: each further send is a repetition, and is paid for as it goes out. */
  #isRepetition = false;
  /** Its way to a back end; set before anything is sent. */
  #wait!: RequestWait;
  /** The slot that the attempt in progress has. */
  #claim: SlotClaim | undefined;
  readonly #answer: CallerAnswer;
  #version: number | undefined;
  /** How its latest attempt failed. */
  #latestFailure: FailedAttempt | undefined;
  #settled = false;
  readonly #onCallerEnded = () => this.#endCaller();

  constructor(components: ForwardingComponents, request: IncomingMessage, response: ServerResponse) {
    this.#components = components;
    this.#request = request;
    this.#response = response;
    this.#id = String(request.headers[components.names.requestId] ?? '');
    this.#content = new SuspectContent(components.poison, () =>
      fingerprintsOf({ request, body: this.#body, tenant: this.#admitted.tenant }, components.names),
    );
    this.#answer = new CallerAnswer(request, response, () => components.drain.isUnderWay);
    response.on('close', () => this.#onCallerGone());
    // The answer closes only once what is buffered has gone out, which a caller that has gone does not read.
    request.socket.once('end', this.#onCallerEnded);
    response.on('error', () => {});
    request.on('error', () => {});
  }

  /** Routes the request and sends it. */
  async start(): Promise<void> {
    const rejected = this.#admit();
    if (rejected !== undefined) return this.#finish(rejected.error, rejected.route);
    this.#timer = setTimeout(() => this.#onTimeout(), this.#admitted.timing.endsAt - this.arrivedAt);
    this.#body = await readCallerBody(this.#request, this.#admitted.table.configuration.limits.bodyBytes);
    if (this.#settled) return;
    if (this.#body.type === 'tooLarge') return this.#finish({ type: 'bodyTooLarge' });
    if (this.#body.type === 'cut') return this.#finish({ type: 'malformed', reason: 'cut body' });
    this.#components.budgetOf(this.#admitted.service).earn(performance.now());
    const decision = await this.#content.admit(this.#admitted.service);
    if (this.#settled) return this.#content.noteSettled();
    if (decision.type === 'quarantined') return this.#refuseQuarantined(decision.retryAfter);
    this.#wait.begin();
  }

  /** Back ends crash under these contents: it is taken back where it has one of them and has not begun. */
  onQuarantined(fingerprints: ReadonlySet<Fingerprint>): void {
    const isWaiting = !this.#settled && this.#wait?.isUnderWay;
    if (this.#use === undefined && !isWaiting) return;
    if (!this.#content.isAmong(fingerprints) || this.#content.mayBeSent) return;
    if (this.#use === undefined) return this.#giveUpQuarantined();
    if (this.#use.hasBegun) return;
    this.#use.attempt.withdraw('quarantined');
  }

  /** Ends a request that this process cannot handle: a fault of its own takes down one request, never the process. */
  abandon(cause: unknown): void {
    this.#components.log.error('request abandoned', {
      request: this.#id,
      cause: String((cause as Error)?.stack ?? cause),
    });
    this.#use?.attempt.abort('abandoned');
    this.#finish({ type: 'backEndFailed', reason: 'fault of this process' });
  }

  /** Ends a request that has not ended when this process does: whoever has no part of an answer yet is told. */
  stop(): void {
    if (this.#settled) return;
    const mayHaveRun = this.#mayHaveRun;
    if (!this.#answer.started) {
      this.#use?.attempt.abort('stop');
      this.#endAttempt(undefined);
      return mayHaveRun ? this.#finish({ type: 'stopped' }) : this.#refuseForStop();
    }
    this.#components.cutFigures.note('stop');
    this.#log('answer cut', { reason: 'stop', backEnd: this.#use?.row.record.id, ageMs: this.#age() });
    this.#use?.attempt.abort('stop');
    this.#endAttempt(undefined);
    this.#settle('stopped');
    this.#response.destroy();
  }

  /** Ends attempts that are owed something for too long; called by the shared tick. */
  check(now: number, standstills: Standstills): void {
    if (this.#settled) return;
    if (this.#wait?.isUnderWay) return this.#wait.check(now, standstills);
    const use = this.#use;
    if (use === undefined) return;
    // It must not begin, whether or not it may be sent again and its caller reads: asked after that, last sends were left where
    // they were and began up to 0.23 s after the bound.
    if (this.#mustNotBegin(use, now)) return use.attempt.withdraw('version expires');
    const { attempt } = use;
    this.#timeToEnd.noteProgress(attempt, now);
    if (!attempt.sent) {
      if (standstills.runningTime(attempt.startedAt, now) > CONNECT_LIMIT)
        attempt.fail('no connection in time');
      return;
    }
    if (this.#response.writableNeedDrain) return use.noteCallerBlocks(now);
    const silence = this.#silence(now, use, standstills);
    if (silence === 'connection') use.suspectConnections(this.#components.backEnds);
    if (!this.#mayRunAgain()) return;
    if (silence !== 'none') this.#giveUpSilent(use, silence, now, standstills);
  }

  /** True where it has not begun at a back end whose version is about to expire: a request begins with its first token. */
  #mustNotBegin({ row, sentFor, hasBegun }: BackEndUse, now: number): boolean {
    return !hasBegun && this.#components.selector.mustWithdraw(row, sentFor, now);
  }

  #giveUpSilent(
    use: BackEndUse,
    silence: Exclude<Silence, 'none'>,
    now: number,
    standstills: Standstills,
  ): void {
    if (!this.#mayRepeat()) return;
    const { progressAt } = use;
    const silentFor = now - progressAt;
    this.#log('back end silent', {
      backEnd: use.row.record.id,
      silence,
      silentMs: Math.round(silentFor),
      stoodStillMs: Math.round(silentFor - standstills.runningTime(progressAt, now)),
      hasPart: this.#answer.started,
    });
    if (silence === 'backEnd') return use.attempt.fail('silent');
    use.suspectConnections(this.#components.backEnds);
    use.attempt.failSilentConnection(silence === 'connection');
  }

  /** Takes in what the configuration says of it; returns why it cannot be sent. */
  #admit(): RejectedRequest | undefined {
    const admission = admit(this.#request, this.arrivedAt, this.#components);
    if (!admission.ok) return admission.error;
    this.#admitted = admission.value;
    const { route, answerTokens, timing } = admission.value;
    this.#timeToEnd = new TimeToEnd(this.#components, route.name, answerTokens, timing.endsAt);
    this.#wait = this.#createWait(admission.value);
    return undefined;
  }

  #createWait({ route, timing, rank }: AdmittedRequest): RequestWait {
    const request: WaitingRequest = {
      timing,
      isStream: route.isStream,
      urgency: (now) => timing.urgency(rank, now),
      requirements: () => this.#requirements(),
      wasSent: () => this.#sends > 0,
      goesOn: () => this.#answer.started,
      canEnd: (wait) => this.#canEnd(wait),
      mayBeSent: () => !this.#isRepetition || this.#mayRepeat(),
    };
    return new RequestWait(this.#components, request, {
      onChosen: (selection, claim) => this.#send(selection, claim),
      onGivenUp: (reason) => this.#giveUp(reason),
      onNoTime: () => this.#refuseForStop(),
      onFault: (cause) => this.abandon(cause),
      onNote: (message, fields) => this.#log(message, fields),
    });
  }

  #send(selection: Selection, claim: SlotClaim | undefined): void {
    this.#claim = claim;
    if (!this.#canEnd()) return this.#refuseForStop();
    if (!this.#content.mayBeSent) return this.#giveUpQuarantined();
    if (this.#isRepetition && !this.#components.budgetOf(this.#admitted.service).spend(performance.now()))
      return this.#giveUp('no budget');
    const { row } = selection;
    this.#tried.add(row.record);
    this.#sends++;
    const { timing, rank, promptTokens, answerTokens } = this.#admitted;
    const urgency = timing.urgency(rank, performance.now());
    const attempt = new Attempt(
      {
        requestId: this.#id,
        method: this.#request.method ?? 'GET',
        path: this.#request.url ?? '/',
        headers: this.#headersFor(row, selection.expectedVersion, urgency),
        body: this.#bodyToSend(),
      },
      this.#components.names,
      {
        onAnswer: (answer) => this.#onAnswer(answer),
        onHead: (head) => this.#onHead(head),
        onData: (chunk) => this.#onData(chunk),
        onEnd: () => this.#onEnd(),
        onFailure: (failure) => this.#onFailure(failure),
      },
    );
    this.#use = new BackEndUse(selection, attempt, urgency, promptTokens, answerTokens);
    this.#timeToEnd.noteSent(attempt);
    const { limits } = this.#components;
    limits.noteSent(row.record, this.#claim !== undefined);
    this.#log('sent', {
      send: this.#sends,
      backEnd: row.record.id,
      load: loadOf(row),
      waitMs: Math.round(selection.expectedWait),
      choices: selection.choices,
      version: selection.version,
      hasSlot: this.#claim !== undefined,
      rateLimit: limits.rateOf(row.record),
      configuration: this.#admitted.table.configuration.revision,
    });
    attempt.send(row.connections);
  }

  #requirements(): Requirements {
    const { service, table } = this.#admitted;
    return {
      service,
      engine: table.service(service)?.engine,
      isRepeatable: this.#admitted.route.repeatability !== 'never',
      // The queues of back ends are for those that can be in time: one that comes again waits here for a free slot.
      mayQueue: this.#sends > 0 || !this.#admitted.timing.isLastChance,
      answerTokens: this.#admitted.answerTokens,
      goesOn: this.#answer.started,
      version: this.#answer.started ? this.#version : undefined,
      tried: this.#tried,
    };
  }

  /** Whether it can still end before this process does, if it is sent after `wait` milliseconds; a begun answer goes on. */
  #canEnd(wait = 0): boolean {
    return this.#answer.started || this.#timeToEnd.suffices(performance.now(), wait);
  }

  /** Refuses what this process has no time for: another one can take it now. */
  #refuseForStop(): void {
    this.#wait.end('inVain');
    this.#releaseSlot();
    const reason = 'stop';
    if (this.#runs > 0) return this.#finish({ type: 'backEndFailed', reason });
    const retryAfter = RETRY_ELSEWHERE * (1 + this.#components.random.fraction());
    this.#finish({ type: 'unavailable', reason, retryAfter });
  }

  /** It is sent to no further back end. */
  #giveUpQuarantined(): void {
    this.#wait.end('inVain');
    this.#releaseSlot();
    const reason = 'quarantined';
    if (this.#answer.started) return this.#cut(reason);
    if (this.#runs > 0) return this.#finish({ type: 'backEndFailed', reason });
    this.#refuseQuarantined(this.#content.retryAfter);
  }

  /** @param milliseconds - until one like it may be tried */
  #refuseQuarantined(milliseconds: number): void {
    this.#log('quarantined', { fingerprint: this.#content.fingerprints[0] });
    this.#finish({ type: 'quarantined', retryAfter: milliseconds / MILLISECONDS });
  }

  /** True where the promise that the request has not run cannot be made. */
  get #mayHaveRun(): boolean {
    return this.#runs > 0 || this.#use?.attempt.sent === true;
  }

  #bodyToSend(): Buffer | Readable | null {
    if (this.#body.type === 'kept') return this.#body.bytes;
    return this.#body.type === 'streamed' ? this.#body.stream : null;
  }

  #headersFor(row: BackEndRow, version: number | undefined, urgency: number): string[] {
    const attempt = {
      backEnd: row.record.id,
      version,
      urgency,
      lastEventId: this.#answer.lastEventId,
      isStreamed: this.#body.type === 'streamed',
    };
    return headersToSend(this.#request, this.#admitted, attempt, this.#components, performance.now());
  }

  #onAnswer({ status, headers, isRefusal }: AnswerSummary): void {
    const { row, attempt } = this.#use!;
    const notice = readRateLimit(headers[this.#components.names.rateLimit]);
    const mayLift = !isRefusal && status < INTERNAL_ERROR;
    const observation = { backEnd: row.record, notice, sentAt: attempt.startedAt, mayLift };
    this.#components.limits.noteAnswer(observation, performance.now());
    if (notice.type === 'named') this.#claim?.noteAnswer(notice.rate);
    else if (notice.type === 'absent' && mayLift) this.#claim?.noteAnswer(undefined);
  }

  #onHead(head: AnswerHead): void {
    this.#use?.noteHead();
    const goesOn = this.#answer.started;
    if (!this.#answer.begin(head))
      return this.#use?.attempt.fail(`status ${head.status} to a stream that goes on`);
    const version = Number(head.headers[this.#components.names.servedVersion]);
    if (!goesOn && Number.isFinite(version) && version > 0) this.#version = version;
    this.#noteBegin(version);
  }

  /** An answer begins on `version`. */
  #noteBegin(version: number): void {
    const { selector, expiryFigures } = this.#components;
    const { row, attempt, sentFor } = this.#use!;
    const expiredFor = selector.expiredFor(sentFor.engine, version, performance.now());
    if (!(expiredFor > 0)) return;
    expiryFigures.begunLate++;
    this.#log('began on an expired version', {
      backEnd: row.record.id,
      version,
      expiredMs: Math.round(expiredFor),
      send: this.#sends,
      sentMsAgo: Math.round(performance.now() - attempt.startedAt),
    });
  }

  #onData(chunk: Buffer): void {
    const use = this.#use!;
    use.notePart();
    this.#answer.push(chunk, use.attempt);
  }

  #onEnd(): void {
    this.#use?.noteRead();
    const { status, started } = this.#answer;
    const isFailure = status >= INTERNAL_ERROR;
    if (isFailure && !started && this.#tryAgainAfter(`status ${status}`)) return;
    this.#endAttempt(isFailure ? 'failed' : 'served');
    this.#settle(isFailure ? 'failedAnswer' : 'served');
    this.#answer.end();
  }

  /** Sends a request whose back end failed to another one; false where that may not be. */
  #tryAgainAfter(reason: string): boolean {
    if (!this.#mayRunAgain() || !this.#mayRepeat()) return false;
    this.#endAttempt('failed');
    this.#runs++;
    this.#isRepetition = true;
    this.#answer.forget();
    this.#log('sent again', { reason, sends: this.#sends });
    this.#wait.begin();
    return true;
  }

  #onFailure(failure: AttemptFailure): void {
    const { row, progressAt } = this.#use!;
    const silentMs = Math.round(performance.now() - progressAt);
    this.#latestFailure = {
      backEnd: row.record.id,
      type: failure.type,
      reason: failure.type === 'refused' ? `status ${failure.status}` : failure.reason,
      silentMs,
    };
    this.#log('attempt failed', {
      backEnd: row.record.id,
      ...failure,
      silentMs,
      hasPart: this.#answer.started,
      ageMs: this.#age(),
    });
    if (failure.type === 'broken' && failure.isLost) this.#content.noteBroken(row);
    if (failure.type === 'withdrawn') this.#components.expiryFigures.withdrawn++;
    this.#endAttempt(outcomeOf(failure));
    if (wentOut(failure)) this.#isRepetition = true;
    if (failure.type === 'silentConnection') this.#allowAgain(row);
    if (wentOut(failure) && failure.type !== 'refused') return this.#onBroken(failure.reason);
    if (this.#sends >= MOST_SENDS) return this.#giveUp('back ends refuse');
    if (this.#isRepetition && !this.#mayRepeat()) return this.#giveUp('no budget');
    if (this.#body.type === 'streamed' && failure.type === 'refused') return this.#giveUp('body not kept');
    if (!this.#content.mayBeSent) return this.#giveUpQuarantined();
    this.#wait.begin();
  }

  /** A back end whose connection was at fault takes the request over another one where no other back end can. */
  #allowAgain({ record }: BackEndRow): void {
    const { selector } = this.#components;
    const requirements = this.#requirements();
    const isOther =
      selector.slotCandidates(requirements).length > 0 || selector.select(requirements) !== undefined;
    if (!isOther) this.#tried.delete(record);
  }

  #onBroken(reason: string): void {
    this.#runs++;
    this.#answer.forget();
    if (this.#mayRunAgain(this.#runs) && this.#mayRepeat()) {
      this.#log('sent again', { reason, sends: this.#sends, after: this.#answer.lastEventId });
      return this.#wait.begin();
    }
    if (this.#answer.started) return this.#cut(reason);
    this.#finish({ type: 'backEndFailed', reason });
  }

  /** Whether the budget has a repetition now; it is taken only as the request goes out, which may be later. */
  #mayRepeat(): boolean {
    return this.#components.budgetOf(this.#admitted.service).allows(performance.now());
  }

  /** Whether one more back end may run the request. */
  #mayRunAgain(runs = this.#runs + 1): boolean {
    const { repeatability, maxAttempts } = this.#admitted.route;
    if (repeatability === 'never' || this.#body.type === 'streamed') return false;
    if (runs >= maxAttempts || this.#sends >= MOST_SENDS || !this.#content.mayRunAgain) return false;
    if (!this.#answer.started) return true;
    return repeatability === 'resumable' && this.#answer.isEventStream;
  }

  /** Times in which this process itself did not run count as no silence of others. */
  #silence(now: number, use: BackEndUse, standstills: Standstills): Silence {
    const { row, attempt, progressAt, isOvertaken } = use;
    const awaited = {
      route: this.#admitted.route,
      sentAt: attempt.startedAt,
      progressAt: now - standstills.runningTime(progressAt, now),
      isStreaming: this.#answer.started,
      isOnSilentConnection: attempt.isOnSilentConnection,
      isOvertaken,
      backEndProgressAt: now - standstills.runningTime(row.progressAt, now),
      usualFirstAnswer: row.firstAnswerTime,
    };
    return silenceOf(awaited, now);
  }

  /** No back end can take the request now. */
  #giveUp(reason: string): void {
    this.#wait.end('inVain');
    this.#releaseSlot();
    if (this.#answer.started) return this.#cut(reason);
    if (this.#runs > 0) return this.#finish({ type: 'backEndFailed', reason });
    const { selector, random } = this.#components;
    const capacity = selector.expectedCapacity(this.#admitted.service) ?? 0;
    const soon = RETRY_AFTER * (1 + random.fraction());
    const delay = Math.max(soon + capacity, selector.requestInterval(this.#admitted.service));
    const retryAfter = Math.min(LONGEST_RETURN, delay) / MILLISECONDS;
    this.#finish({ type: 'unavailable', reason, retryAfter });
  }

  #onTimeout(): void {
    if (this.#settled) return;
    const use = this.#use;
    const mayHaveRun = this.#mayHaveRun;
    const outcome = use === undefined ? undefined : outcomeAtTimeout(use);
    if (use?.attempt.isOnSilentConnection) use.suspectConnections(this.#components.backEnds);
    use?.attempt.abort('timed out');
    this.#endAttempt(outcome);
    if (this.#answer.started) return this.#cut('timed out');
    this.#finish(mayHaveRun ? { type: 'timedOut' } : { type: 'expired' });
  }

  /** The caller has closed its side, so that it will not read what is buffered for it either. */
  #endCaller(): void {
    if (this.#settled) return;
    this.#onCallerGone();
    this.#response.destroy();
  }

  #onCallerGone(): void {
    if (this.#settled) return;
    this.#log('caller left', { backEnd: this.#use?.row.record.id, ageMs: this.#age() });
    this.#use?.attempt.abort('caller left');
    this.#endAttempt(undefined);
    this.#settle('left');
  }

  /** Ends an answer whose beginning the caller has: it must not look whole. */
  #cut(reason: string): void {
    const { fleet, selector, cutFigures } = this.#components;
    cutFigures.note(this.#latestFailure?.reason ?? reason);
    this.#log('answer cut', {
      reason,
      latestFailure: this.#latestFailure,
      sends: this.#sends,
      excluded: selector.exclusions(this.#requirements()),
      configuration: fleet.configurationRevision,
      configurationAgeMs: Math.round(performance.now() - fleet.configurationTakenAt),
      ageMs: this.#age(),
    });
    this.#settle('cut');
    this.#response.destroy();
  }

  #finish(error: ForwardingError, routeName: string | undefined = this.#admitted?.route.name): void {
    if (this.#settled) return;
    const { status, retryAfter } = finalAnswer(error);
    this.#log('ended', { status, ...error, ageMs: this.#age(), route: routeName });
    this.#settle(outcomeOfError(error));
    if (this.#answer.started || this.#response.destroyed) return void this.#response.destroy();
    const headers: Record<string, string> = { 'content-length': '0' };
    if (this.#id !== '') headers[this.#components.names.requestId] = this.#id;
    if (retryAfter !== undefined) headers['retry-after'] = retryAfter.toFixed(2);
    // What is left of a body would be taken for the next request.
    if (this.#components.drain.isUnderWay || !this.#request.complete) headers.connection = 'close';
    this.#response.writeHead(status, headers);
    this.#response.end();
  }

  /** Takes the attempt out of the books; undefined where its end says nothing about the back end. */
  #endAttempt(outcome: BackEndOutcome | undefined): void {
    this.#releaseSlot();
    const use = this.#use;
    if (use === undefined) return;
    this.#use = undefined;
    if (use.attempt.mayHaveRun) this.#content.noteMayHaveRun();
    if (use.attempt.isGivenUp) this.#content.noteGivenUp(use.row);
    const took = use.end();
    const { record, health } = use.row;
    this.#timeToEnd.noteEnded(use.attempt, outcome === 'served', performance.now());
    if (outcome === undefined) health.noteAbandoned();
    else
      health.note(
        outcome,
        performance.now(),
        this.#components.backEnds.usualFailureShare(this.#admitted.service),
      );
    if (outcome !== 'served') return;
    // A back end may reject a request without running it.
    if (this.#answer.status < FIRST_FAILURE) this.#content.noteServed();
    use.noteServed(took);
    this.#log('served', {
      backEnd: record.id,
      tookMs: Math.round(took),
      firstMs: use.firstAnswerAfter,
      version: this.#version,
    });
  }

  #releaseSlot(): void {
    this.#claim?.release(this.#use?.attempt.sent === true);
    this.#claim = undefined;
  }

  #settle(outcome: RequestOutcome): void {
    this.#settled = true;
    this.#content.noteSettled();
    clearTimeout(this.#timer);
    this.#wait?.end(outcome === 'left' ? 'left' : 'inVain');
    this.#releaseSlot();
    this.#request.socket.off('end', this.#onCallerEnded);
    this.#components.onSettled(this, outcome, this.#age());
  }

  #age(): number {
    return Math.round(performance.now() - this.arrivedAt);
  }

  #log(message: string, fields: object): void {
    const { drain, log } = this.#components;
    const sinceStop = drain.elapsed(performance.now());
    const ofStop = sinceStop === undefined ? {} : { sinceStopMs: Math.round(sinceStop) };
    log.info(message, { request: this.#id, service: this.#admitted?.service ?? '', ...ofStop, ...fields });
  }
}
