/**
 * One caller's request, from its arrival to its final answer: the back ends it is sent to, what of their answers is passed
 * on, and when it is given up.
 *
 * A request is sent again only where that is safe: after proof that it did not run, or where its route says that it may
 * run again. An answer is passed on only once its first part is there, so that a failure before that stays unseen.
 *
 * An attempt at a silent back end stays open until another back end has sent a part of the answer: the silent one may only
 * be pausing, and the others may refuse, fail or be silent too. So does the attempt of a stream that moves off an engine
 * which is about to take another version.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import type { StallDetector } from '../model/standstills.js';
import { latestBegin } from '../systems/capacity-wait.js';
import type { Fingerprint } from '../systems/poison-requests.js';
import { type AdmittedRequest, admit, headersToSend, type RejectedRequest } from './admitted-request.js';
import { type AnswerHead, type AnswerSummary, Attempt, type AttemptFailure, wentOut } from './attempt.js';
import { AttemptAnswer } from './attempt-answer.js';
import { AttemptWatch } from './attempt-watch.js';
import type { Selection } from './back-end-selector.js';
import { type BackEndRow, loadOf } from './back-end-table.js';
import { BackEndUse } from './back-end-use.js';
import { CallerAnswer } from './caller-answer.js';
import { type CallerBody, readCallerBody } from './caller-body.js';
import type { SlotClaim } from './engine-slots.js';
import { type ForwardingError, finalAnswer } from './forwarding-errors.js';
import type { ForwardingComponents } from './forwarding-server.js';
import { OpenAttempts } from './open-attempts.js';
import { readRateLimit } from './rate-limit-notice.js';
import { holdEndOf, outcomeOfEnding, type RequestEnding } from './request-ending.js';
import { fingerprintsOf } from './request-fingerprint.js';
import { RequestLog } from './request-log.js';
import { outcomeOf } from './request-outcome.js';
import { RequestWait, type WaitingRequest } from './request-wait.js';
import { retryElsewhere, retryOnceServed } from './retry-after.js';
import { SendPolicy } from './send-policy.js';
import { StreamMove } from './stream-move.js';
import { SuspectContent } from './suspect-content.js';
import { TimeToEnd } from './time-to-end.js';

/** Interval between searches for a replacement for a silent or switching back end, in milliseconds. */
const SEARCH_INTERVAL = 200;
const FIRST_FAILURE = 400;
const INTERNAL_ERROR = 500;
const MILLISECONDS = 1_000;

/** A request in progress. */
export class ForwardedRequest {
  readonly #components: ForwardingComponents;
  readonly #request: IncomingMessage;
  /** When it arrived, in milliseconds of the steady clock. */
  readonly arrivedAt = performance.now();
  readonly #id: string;
  /** Set before anything is sent. */
  #admitted!: AdmittedRequest;
  #timeToEnd!: TimeToEnd;
  #timer: NodeJS.Timeout | undefined;
  #body: CallerBody = { type: 'none' };
  readonly #content: SuspectContent;
  readonly #openAttempts: OpenAttempts;
  readonly #log: RequestLog;
  /** Set before anything is sent. */
  #policy!: SendPolicy;
  /** Its way to a back end; set before anything is sent. */
  #wait!: RequestWait;
  /** Set before anything is sent. */
  #watch!: AttemptWatch;
  /** Earliest time of the next search for a replacement, in milliseconds of the steady clock. */
  #nextSearchAt = Number.NEGATIVE_INFINITY;
  readonly #move = new StreamMove();
  readonly #answer: CallerAnswer;
  /** The attempt whose back end answered with a failure; its answer is used if no other back end answers. */
  #failedAnswer: BackEndUse | undefined;
  #settled = false;
  readonly #onCallerEnded = () => this.#endCaller();

  constructor(components: ForwardingComponents, request: IncomingMessage, response: ServerResponse) {
    this.#components = components;
    this.#request = request;
    this.#id = String(request.headers[components.names.requestId] ?? '');
    this.#content = new SuspectContent(components.poison, () =>
      fingerprintsOf({ request, body: this.#body, tenant: this.#admitted.tenant }, components.names),
    );
    this.#log = new RequestLog(components, {
      id: this.#id,
      arrivedAt: this.arrivedAt,
      service: () => this.#admitted?.service ?? '',
      hasPart: () => this.#answer.started,
    });
    this.#openAttempts = new OpenAttempts({
      content: this.#content,
      timeToEnd: () => this.#timeToEnd,
      usualFailureShare: () => components.backEnds.usualFailureShare(this.#admitted.service),
    });
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
    if (rejected !== undefined) return this.#fail(rejected.error, rejected.route);
    this.#timer = setTimeout(() => this.#onTimeout(), this.#admitted.timing.endsAt - this.arrivedAt);
    this.#body = await readCallerBody(this.#request, this.#admitted.table.configuration.limits.bodyBytes);
    if (this.#settled) return;
    if (this.#body.type === 'tooLarge') return this.#fail({ type: 'bodyTooLarge' });
    if (this.#body.type === 'cut') return this.#fail({ type: 'malformed', reason: 'cut body' });
    this.#components.budgetOf(this.#admitted.service).earn(performance.now());
    const decision = await this.#content.admit(this.#admitted.service);
    if (this.#settled) return this.#content.noteSettled();
    if (decision.type === 'quarantined') return this.#refuseQuarantined(decision.retryAfter);
    this.#wait.begin();
  }

  /** Back ends crash under these contents: it is taken back where it has one of them and has not begun. */
  onQuarantined(fingerprints: ReadonlySet<Fingerprint>): void {
    const isWaiting = !this.#settled && this.#wait?.isUnderWay;
    if (this.#openAttempts.size === 0 && !isWaiting) return;
    if (!this.#content.isAmong(fingerprints) || this.#content.mayBeSent) return;
    if (isWaiting) this.#giveUpQuarantined();
    for (const { attempt, hasBegun } of this.#openAttempts.all())
      if (!hasBegun) attempt.withdraw('quarantined');
  }

  /** Ends a request that this process cannot handle: a fault of its own takes down one request, never the process. */
  abandon(cause: unknown): void {
    this.#log.noteAbandoned(cause);
    this.#fail({ type: 'backEndFailed', reason: 'fault of this process' });
  }

  /** Ends a request that has not ended when this process does: whoever has no part of an answer yet is told. */
  stop(): void {
    if (this.#settled) return;
    if (!this.#answer.started) {
      if (this.#openAttempts.mayHaveRun) return this.#fail({ type: 'stopped' });
      this.#openAttempts.abortAll('stop');
      return this.#refuseForStop();
    }
    this.#end({ type: 'cut', reason: 'stop', isStop: true });
  }

  /** Checks the open attempts, and looks for a replacement if all are silent; called by the shared tick. */
  check(now: number, standstills: StallDetector): void {
    if (this.#settled) return;
    if (this.#wait?.isUnderWay) this.#wait.check(now, standstills);
    for (const use of this.#openAttempts.all()) this.#watch.check(use, now, standstills);
    if (this.#settled) return;
    if (this.#move.isOverdue(now, this.#admitted.route.longestPause)) this.#endMove('late');
    if (this.#wait.isUnderWay) return;
    if (this.#needsBackEnd) this.#findReplacement(now);
    else this.#moveOffSwitchingEngine(now);
  }

  /** True if a begun answer has no open attempt, or if all open attempts are silent. */
  get #needsBackEnd(): boolean {
    return this.#openAttempts.size === 0 ? this.#answer.started : this.#openAttempts.areAllSilent;
  }

  /** Looks for another back end while the attempts at the silent ones stay open. */
  #findReplacement(now: number): void {
    if (now < this.#nextSearchAt) return;
    if (!this.#policy.mayRunAgain) {
      // The open attempts are the last ones.
      if (this.#openAttempts.size === 0) this.#giveUp('attempts used up');
      return;
    }
    if (!this.#policy.maySendAgain) return this.#giveUp('no budget');
    this.#policy.allowOtherConnections();
    this.#policy.noteRepetition();
    this.#wait.begin();
  }

  /** Looks for another engine for a stream whose engine is about to take another version; the stream goes on meanwhile. */
  #moveOffSwitchingEngine(now: number): void {
    if (this.#openAttempts.size !== 1 || now < this.#nextSearchAt) return;
    const [use] = this.#openAttempts.all();
    if (!this.#answer.isEventStream || use.row.news?.isSwitching !== true) return;
    // Another engine must go on with the same version, so it has to be known.
    if (this.#policy.version === undefined || !this.#policy.mayRunAgain) return;
    if (!this.#policy.maySendAgain) return this.#endSearch('no budget');
    this.#move.begin(use);
    this.#policy.noteRepetition();
    this.#wait.begin();
  }

  /** Ends a move that has not succeeded; the attempt that the stream was to leave goes on. */
  #endMove(reason: string): void {
    if (!this.#move.isUnderWay) return;
    this.#nextSearchAt = performance.now() + SEARCH_INTERVAL;
    this.#components.moveFigures.givenUp++;
    const source = this.#move.end();
    if (source === undefined) return;
    this.#log.note('move given up', { backEnd: source.row.record.id, reason });
    if (!this.#openAttempts.has(source) || !source.answer.hasBuffered) return;
    this.#selectAttempt(source);
    this.#answer.forward(source.answer, source.attempt);
  }

  /** Takes in what the configuration says of it; returns why it cannot be sent. */
  #admit(): RejectedRequest | undefined {
    const admission = admit(this.#request, this.arrivedAt, this.#components);
    if (!admission.ok) return admission.error;
    this.#admitted = admission.value;
    const { route, answerTokens, timing } = admission.value;
    this.#timeToEnd = new TimeToEnd(this.#components, route.name, answerTokens, timing.endsAt);
    this.#policy = this.#createPolicy(admission.value);
    this.#wait = this.#createWait(admission.value);
    this.#watch = this.#createWatch(admission.value);
    return undefined;
  }

  #createPolicy(admitted: AdmittedRequest): SendPolicy {
    return new SendPolicy({
      admitted,
      isBodyStreamed: () => this.#body.type === 'streamed',
      content: this.#content,
      attempts: this.#openAttempts,
      answer: this.#answer,
      selector: this.#components.selector,
      budget: this.#components.budgetOf(admitted.service),
    });
  }

  #createWatch(admitted: AdmittedRequest): AttemptWatch {
    return new AttemptWatch(this.#components, {
      admitted,
      timeToEnd: this.#timeToEnd,
      hasPart: () => this.#answer.started,
      isCallerBlocked: () => this.#answer.isBlocked,
      maySendAgain: () => this.#policy.maySendAgain,
      onSilentConnection: (row) => this.#policy.noteSilentConnection(row),
      onNote: (message, fields) => this.#log.note(message, fields),
    });
  }

  #createWait({ route, timing, rank }: AdmittedRequest): RequestWait {
    const request: WaitingRequest = {
      timing,
      isStream: route.isStream,
      urgency: (now) => timing.urgency(rank, now),
      requirements: () => this.#policy.requirements(),
      wasSent: () => this.#policy.sends > 0,
      goesOn: () => this.#answer.started,
      canEnd: (wait) => this.#canEnd(wait),
      mayBeSent: () => this.#policy.isAllowedByBudget,
    };
    return new RequestWait(this.#components, request, {
      onChosen: (selection, claim) => this.#send(selection, claim),
      onGivenUp: (reason) => this.#giveUp(reason),
      onNoTime: () => this.#refuseForStop(),
      onFault: (cause) => this.abandon(cause),
      onNote: (message, fields) => {
        if (!this.#hasSearchedInVain) this.#log.note(message, fields);
      },
    });
  }

  #send(selection: Selection, claim: SlotClaim | undefined): void {
    const refuse = this.#refusalBeforeSend();
    if (refuse !== undefined) {
      claim?.release(false);
      return refuse();
    }
    const { row } = selection;
    // It goes there over another connection than one that is silent.
    this.#openAttempts.abortAt(row, 'silent connection');
    this.#policy.noteSent(row);
    const { limits } = this.#components;
    limits.noteSent(row.record, claim !== undefined);
    this.#log.note('sent', {
      send: this.#policy.sends,
      backEnd: row.record.id,
      load: loadOf(row),
      waitMs: Math.round(selection.expectedWait),
      choices: selection.choices,
      version: selection.version,
      hasSlot: claim !== undefined,
      rateLimit: limits.rateOf(row.record),
      configuration: this.#admitted.table.configuration.revision,
    });
    const use = this.#createAttempt(selection, claim);
    const { attempt } = use;
    this.#move.noteSent(use);
    this.#timeToEnd.noteSent(attempt);
    attempt.send(row.connections);
  }

  /** Returns a function that gives up if the request may not be sent; otherwise spends the budget for a repetition. */
  #refusalBeforeSend(): (() => void) | undefined {
    if (!this.#canEnd()) return () => this.#refuseForStop();
    if (!this.#content.mayBeSent) return () => this.#giveUpQuarantined();
    return this.#policy.pay() ? undefined : () => this.#giveUp('no budget');
  }

  #createAttempt(selection: Selection, claim: SlotClaim | undefined): BackEndUse {
    const { timing, rank, promptTokens, answerTokens } = this.#admitted;
    const urgency = timing.urgency(rank, performance.now());
    const attempt = new Attempt(
      {
        requestId: this.#id,
        method: this.#request.method ?? 'GET',
        path: this.#request.url ?? '/',
        headers: this.#headersFor(selection.row, selection.expectedVersion, urgency),
        body: this.#bodyToSend(),
      },
      this.#components.names,
      {
        onAnswer: (answer) => this.#onAnswer(use, answer),
        onHead: (head) => this.#onHead(use, head),
        onData: (chunk) => this.#onData(use, chunk),
        onEnd: () => this.#onEnd(use),
        onFailure: (failure) => this.#onFailure(use, failure),
      },
    );
    const answer = new AttemptAnswer(this.#answer.lastEventId);
    const use = new BackEndUse({ selection, attempt, answer, claim, urgency, promptTokens, answerTokens });
    this.#openAttempts.add(use);
    return use;
  }

  /** Whether it can still end before this process does, if it is sent after `wait` milliseconds; a begun answer goes on. */
  #canEnd(wait = 0): boolean {
    return this.#answer.started || this.#timeToEnd.suffices(performance.now(), wait);
  }

  /** Refuses what this process has no time for: another one can take it now. */
  #refuseForStop(): void {
    if (this.#openAttempts.size > 0) return this.#endSearch('stop');
    const reason = 'stop';
    if (this.#openAttempts.runs > 0) return this.#fail({ type: 'backEndFailed', reason });
    this.#fail({ type: 'unavailable', reason, retryAfter: retryElsewhere(this.#components.random) });
  }

  /** It is sent to no further back end. */
  #giveUpQuarantined(): void {
    const reason = 'quarantined';
    if (this.#openAttempts.size > 0) return this.#endSearch(reason);
    if (this.#answer.started) return this.#cut(reason);
    if (this.#openAttempts.runs > 0) return this.#fail({ type: 'backEndFailed', reason });
    this.#refuseQuarantined(this.#content.retryAfter);
  }

  /** @param milliseconds - until one like it may be tried */
  #refuseQuarantined(milliseconds: number): void {
    this.#log.note('quarantined', { fingerprint: this.#content.fingerprints[0] });
    this.#fail({ type: 'quarantined', retryAfter: milliseconds / MILLISECONDS });
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

  #onAnswer({ row, attempt, claim }: BackEndUse, { status, headers, isRefusal }: AnswerSummary): void {
    const notice = readRateLimit(headers[this.#components.names.rateLimit]);
    const mayLift = !isRefusal && status < INTERNAL_ERROR;
    const observation = { backEnd: row.record, notice, sentAt: attempt.startedAt, mayLift };
    this.#components.limits.noteAnswer(observation, performance.now());
    if (notice.type === 'named') claim?.noteAnswer(notice.rate);
    else if (notice.type === 'absent' && mayLift) claim?.noteAnswer(undefined);
  }

  #onHead(use: BackEndUse, head: AnswerHead): void {
    use.noteHead();
    use.answer.begin(head);
    if (this.#answer.started && !use.answer.isEventStream)
      return use.attempt.fail(`status ${head.status} without events to a stream that goes on`);
    this.#noteBegin(use);
  }

  #versionOf({ answer }: BackEndUse): number | undefined {
    const version = Number(answer.head?.headers[this.#components.names.servedVersion]);
    return version > 0 ? version : undefined;
  }

  /** Records an answer that begins on an expired version. */
  #noteBegin(use: BackEndUse): void {
    const version = this.#versionOf(use);
    if (version === undefined) return;
    const { selector, expiryFigures } = this.#components;
    const { row, attempt, sentFor } = use;
    const expiredFor = selector.expiredFor(sentFor.engine, version, performance.now());
    if (!(expiredFor > 0)) return;
    expiryFigures.begunLate++;
    this.#log.note('began on an expired version', {
      backEnd: row.record.id,
      version,
      expiredMs: Math.round(expiredFor),
      send: this.#policy.sends,
      sentMsAgo: Math.round(performance.now() - attempt.startedAt),
    });
  }

  #onData(use: BackEndUse, chunk: Buffer): void {
    use.notePart();
    if (!use.answer.push(chunk) || this.#move.holdsBack(use)) return;
    if (!this.#move.isSource(use)) this.#selectAttempt(use);
    this.#answer.forward(use.answer, use.attempt);
  }

  /** Selects `use` as the source of the answer; cancels the search and the other attempts, so that no event is sent twice. */
  #selectAttempt(use: BackEndUse): void {
    if (!this.#answer.started) this.#policy.version = this.#versionOf(use);
    if (this.#openAttempts.size === 1 && !this.#wait.isUnderWay) return;
    const backEnds = [...this.#openAttempts.all()].map(({ row }) => row.record.id);
    this.#log.note('attempt selected', {
      backEnd: use.row.record.id,
      backEnds,
      after: this.#answer.lastEventId,
    });
    if (this.#move.end() !== undefined) this.#components.moveFigures.moved++;
    this.#wait.end('cancelled');
    this.#openAttempts.abortAll('another back end answers', use);
  }

  #onEnd(use: BackEndUse): void {
    use.noteRead();
    const { status } = use.answer;
    if (status >= INTERNAL_ERROR && !this.#answer.started && this.#tryAgainAfter(use, `status ${status}`))
      return;
    this.#end({ type: 'answered', use });
  }

  /** Retries after an error response of the back end; returns false if the request may not be sent again. */
  #tryAgainAfter(use: BackEndUse, reason: string): boolean {
    const hasActiveAttempt = this.#openAttempts.hasActiveBeside(use);
    if (!hasActiveAttempt && !this.#policy.maySendAgain) return false;
    this.#openAttempts.close(use, 'failed');
    this.#failedAnswer = use;
    this.#policy.noteRepetition();
    if (hasActiveAttempt || this.#wait.isUnderWay) return true;
    this.#log.note('sent again', { reason, sends: this.#policy.sends });
    this.#wait.begin();
    return true;
  }

  #onFailure(use: BackEndUse, failure: AttemptFailure): void {
    const { row } = use;
    this.#log.noteFailure(use, failure);
    if (failure.type === 'broken' && failure.isLost) this.#content.noteBroken(row);
    if (failure.type === 'withdrawn') this.#components.expiryFigures.withdrawn++;
    this.#openAttempts.close(use, outcomeOf(failure));
    const isKept = this.#answer.started || this.#openAttempts.size > 0;
    if (isKept && (failure.type === 'refused' || failure.type === 'notSent')) this.#policy.allowLater(row);
    if (wentOut(failure)) this.#policy.noteRepetition();
    if (this.#move.isSource(use) || !this.#wait.isUnderWay) this.#endMove(failure.type);
    // Another attempt is open, or a search is in progress.
    if (this.#openAttempts.size > 0 || this.#wait.isUnderWay) return;
    if (wentOut(failure) && failure.type !== 'refused') return this.#onBroken(failure.reason);
    if (this.#policy.isExhausted) return this.#giveUp('back ends refuse');
    if (!this.#policy.isAllowedByBudget) return this.#giveUp('no budget');
    if (this.#body.type === 'streamed' && failure.type === 'refused') return this.#giveUp('body not kept');
    if (!this.#content.mayBeSent) return this.#giveUpQuarantined();
    this.#wait.begin();
  }

  #onBroken(reason: string): void {
    if (this.#policy.maySendAgain) {
      this.#log.note('sent again', { reason, sends: this.#policy.sends, after: this.#answer.lastEventId });
      return this.#wait.begin();
    }
    if (this.#answer.started) return this.#giveUp(reason);
    this.#fail({ type: 'backEndFailed', reason });
  }

  /** No back end can take the request now. */
  #giveUp(reason: string): void {
    if (this.#openAttempts.size > 0 && this.#waitsForSilent) return this.#endSearch(reason);
    if (this.#answer.started) return this.#canGoOnLater() ? this.#endSearch(reason) : this.#cut(reason);
    if (this.#openAttempts.runs > 0) return this.#fail({ type: 'backEndFailed', reason });
    const { selector, random } = this.#components;
    const retryAfter = retryOnceServed(this.#admitted.service, selector, random);
    this.#fail({ type: 'unavailable', reason, retryAfter });
  }

  /** Whether it is left at silent back ends, though no other one can take it now. */
  get #waitsForSilent(): boolean {
    if (this.#answer.started) return true;
    if (this.#failedAnswer !== undefined && this.#openAttempts.areAllSilent) return false;
    return performance.now() < this.#admitted.timing.waitsForSilentUntil;
  }

  /** Ends a search that found no replacement; the next one starts after `SEARCH_INTERVAL`. */
  #endSearch(reason: string): void {
    this.#wait.end('inVain');
    this.#endMove(reason);
    if (!this.#hasSearchedInVain) this.#log.note('no replacement found', { reason });
    this.#nextSearchAt = performance.now() + SEARCH_INTERVAL;
  }

  get #hasSearchedInVain(): boolean {
    return this.#nextSearchAt !== Number.NEGATIVE_INFINITY;
  }

  /** Whether another back end may resume a begun answer before its caller gives up. */
  #canGoOnLater(): boolean {
    const { route, timing } = this.#admitted;
    const latest = latestBegin(this.#answer.forwardedAt, timing.endsAt, route.patience);
    if (performance.now() + SEARCH_INTERVAL > latest) return false;
    return this.#policy.mayRunAgain && this.#components.selector.mayTakeLater(this.#policy.requirements());
  }

  #onTimeout(): void {
    if (this.#settled) return;
    for (const use of this.#openAttempts.all()) this.#watch.noteTimeout(use);
    if (this.#answer.started) return this.#cut('timed out');
    this.#fail(this.#openAttempts.mayHaveRun ? { type: 'timedOut' } : { type: 'expired' });
  }

  /** The caller has closed its side, so that it will not read what is buffered for it either. */
  #endCaller(): void {
    if (this.#settled) return;
    this.#onCallerGone();
    this.#answer.cut();
  }

  #onCallerGone(): void {
    this.#end({ type: 'left' });
  }

  #cut(reason: string): void {
    this.#end({ type: 'cut', reason, isStop: false });
  }

  #fail(error: ForwardingError, routeName?: string): void {
    if (this.#failedAnswer !== undefined && !this.#answer.started)
      return this.#end({ type: 'answered', use: this.#failedAnswer });
    this.#end({ type: 'failed', error, routeName });
  }

  /** Ends the request once: logs the ending, releases resources and completes the answer. */
  #end(ending: RequestEnding): void {
    if (this.#settled) return;
    this.#logEnding(ending);
    this.#settled = true;
    this.#releaseResources(ending);
    this.#components.onSettled(this, outcomeOfEnding(ending), this.#log.age);
    switch (ending.type) {
      case 'answered':
        return this.#answer.end(ending.use.answer);
      case 'failed':
        return this.#answer.fail(finalAnswer(ending.error), this.#idHeader());
      case 'cut':
        return this.#answer.cut();
    }
  }

  /** Releases the timer, listeners, attempts, slots and wait of the request. */
  #releaseResources(ending: RequestEnding): void {
    clearTimeout(this.#timer);
    this.#request.socket.off('end', this.#onCallerEnded);
    if (ending.type === 'answered' && this.#openAttempts.has(ending.use)) this.#closeAnswered(ending.use);
    this.#wait?.end(holdEndOf(ending));
    this.#openAttempts.abortAll(ending.type === 'left' ? 'caller left' : 'request ended');
    this.#content.noteSettled();
  }

  /** Closes the attempt that completed the answer, and records its outcome. */
  #closeAnswered(use: BackEndUse): void {
    const { status } = use.answer;
    const isFailure = status >= INTERNAL_ERROR;
    const took = this.#openAttempts.close(use, isFailure ? 'failed' : 'served');
    if (isFailure) return;
    // A back end may reject a request without running it.
    if (status < FIRST_FAILURE) this.#content.noteServed();
    use.noteServed(took);
    this.#log.note('served', {
      backEnd: use.row.record.id,
      tookMs: Math.round(took),
      firstMs: use.firstAnswerAfter,
      version: this.#policy.version ?? this.#versionOf(use),
    });
  }

  #logEnding(ending: RequestEnding): void {
    const [use] = this.#openAttempts.all();
    if (ending.type !== 'cut') return this.#log.noteEnding(ending, use, this.#admitted?.route.name);
    const excluded = this.#components.selector.exclusions(this.#policy.requirements());
    this.#log.noteCut(ending, use, { sends: this.#policy.sends, excluded });
  }

  #idHeader(): Record<string, string> {
    return this.#id === '' ? {} : { [this.#components.names.requestId]: this.#id };
  }
}
