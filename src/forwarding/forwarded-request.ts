/**
 * Handles one request from its arrival to its final answer: chooses back ends, forwards their answer to the caller, and
 * decides when to retry and when to fail.
 *
 * A request is sent again only if that is safe: if it provably did not run, or if its route allows it to run more than
 * once. Nothing is sent to the caller before the first part of an answer has arrived, so that the caller does not notice
 * failures before that.
 *
 * An attempt at a silent back end stays open until another back end has sent a part of the answer: the silent one may only
 * be pausing, and the others may refuse, fail or be silent too. Likewise, when a stream moves off an engine that is about
 * to switch to another version, the attempt at that engine stays open until another engine has resumed the stream.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { StallDetector } from '../model/stall-detector.js';
import { socketsRead } from '../server/sockets-read.js';
import { latestStart } from '../systems/capacity-wait.js';
import { type AdmittedRequest, admit, type RejectedRequest } from './admitted-request.js';
import {
  type AnswerHead,
  type AnswerSummary,
  type AttemptFailure,
  mayHaveReachedBackEnd,
} from './attempt.js';
import { AttemptFactory } from './attempt-factory.js';
import { AttemptWatch } from './attempt-watch.js';
import { BackEndSearch, type PendingRequest } from './back-end-search.js';
import type { Selection } from './back-end-selector.js';
import { type BackEndRow, isInSwitch, loadOf } from './back-end-table.js';
import type { BackEndUse } from './back-end-use.js';
import { CallerAnswer } from './caller-answer.js';
import { type CallerBody, isTooLarge, readCallerBody } from './caller-body.js';
import { ContainedSteps } from './contained-steps.js';
import type { SlotClaim } from './engine-slots.js';
import { errorResponseOf, type ForwardingError } from './forwarding-errors.js';
import type { ForwardingComponents } from './forwarding-server.js';
import { OpenAttempts } from './open-attempts.js';
import { holdOutcomeOf, type RequestEnding } from './request-ending.js';
import { contentOf } from './request-fingerprint.js';
import { RequestLog } from './request-log.js';
import { healthOutcomeOf } from './request-outcome.js';
import { retryAfterForOtherProcess } from './retry-after.js';
import { SendPolicy } from './send-policy.js';
import { StreamMove } from './stream-move.js';
import { SuspectContent } from './suspect-content.js';

/** Interval between searches for a replacement for a silent or switching back end, in milliseconds. */
const SEARCH_INTERVAL = 200;
const FIRST_ERROR_STATUS = 400;
const INTERNAL_ERROR = 500;
/** Error code of a connection that no process accepts. */
const CONNECTION_REFUSED = 'ECONNREFUSED';
const MILLISECONDS = 1_000;

/** A request in progress. */
export class ForwardedRequest {
  readonly #components: ForwardingComponents;
  readonly #request: IncomingMessage;
  /** Arrival time, in milliseconds of the monotonic clock. */
  readonly arrivedAt = performance.now();
  readonly #id: string;
  /** Set by `#admit`, before anything is sent; so are the other fields with `!`. */
  #admitted!: AdmittedRequest;
  #timer: NodeJS.Timeout | undefined;
  #body: CallerBody = { type: 'none' };
  readonly #content: SuspectContent;
  readonly #openAttempts: OpenAttempts;
  readonly #log: RequestLog;
  #policy!: SendPolicy;
  #search!: BackEndSearch;
  #watch!: AttemptWatch;
  #attempts!: AttemptFactory;
  /** Earliest time of the next search for a replacement, in milliseconds of the monotonic clock. */
  #nextSearchAt = Number.NEGATIVE_INFINITY;
  readonly #move = new StreamMove();
  readonly #answer: CallerAnswer;
  /** The latest attempt that got an error response (5xx); the caller gets that response if no other back end answers. */
  #failedAnswer: BackEndUse | undefined;
  #settled = false;
  readonly #steps = new ContainedSteps((cause) => this.abandon(cause));
  /** The steps after the request has been settled, each of which is taken whatever becomes of the others. */
  readonly #endSteps = new ContainedSteps((cause) => this.#log.noteAbandoned(cause));
  readonly #onCallerEnded = () => this.#steps.run(() => this.#onCallerHalfClosed());

  constructor(components: ForwardingComponents, request: IncomingMessage, response: ServerResponse) {
    this.#components = components;
    this.#request = request;
    this.#id = String(request.headers[components.names.requestId] ?? '');
    this.#content = new SuspectContent(components.poison, () => {
      const { tenant, service } = this.#admitted;
      return contentOf({ request, body: this.#body, tenant, service }, components.names);
    });
    this.#log = new RequestLog(components, {
      id: this.#id,
      arrivedAt: this.arrivedAt,
      connection: `${request.socket.remoteAddress}:${request.socket.remotePort}`,
      service: () => this.#admitted?.service ?? '',
      hasPart: () => this.#answer.started,
    });
    this.#openAttempts = new OpenAttempts({
      content: this.#content,
      usualFailureShare: () => components.backEnds.usualFailureShare(this.#admitted.service),
    });
    this.#answer = new CallerAnswer(request, response, {
      // Requests that have been read behind this one are answered on the same connection.
      mustClose: () => components.drain.isUnderWay && components.isLastOnConnection(response),
      unread: components.unread,
    });
    response.on('close', () => this.#steps.run(() => this.#onCallerGone()));
    // `close` of the response waits until buffered data has been written, which a caller that has gone never reads.
    request.socket.once('end', this.#onCallerEnded);
    response.on('error', () => {});
    request.on('error', () => {});
  }

  /** Admits the request, reads its body and starts the search for a back end. */
  async start(): Promise<void> {
    const rejected = this.#admit();
    if (rejected !== undefined) return this.#fail(rejected.error, rejected.route);
    if (!this.#canComplete()) return this.#refuseForStop();
    const timeLeft = this.#admitted.timing.deadline - this.arrivedAt;
    // An answer that has arrived during a stall is read first.
    const onTimeout = () => socketsRead().then(() => this.#steps.run(() => this.#onTimeout()));
    this.#timer = setTimeout(() => void onTimeout(), timeLeft);
    this.#body = await readCallerBody(this.#request, this.#admitted.table.configuration.limits.bodyBytes);
    if (this.#settled) return;
    if (isTooLarge(this.#body)) return this.#fail({ type: 'bodyTooLarge' });
    if (this.#body.type === 'cut') return this.#fail({ type: 'malformed', reason: 'incomplete body' });
    this.#components.budgetOf(this.#admitted.service).earn(performance.now());
    const decision = await this.#content.admit(this.#admitted.service);
    if (this.#settled) return this.#content.noteEnded();
    if (decision.type === 'quarantined') return this.#refuseQuarantined(decision.retryAfter);
    this.#search.begin();
  }

  /**
   * Called when content that crashes back ends has been quarantined: stops the search and withdraws attempts that have not
   * begun to answer, if the request has such content.
   */
  onQuarantined(): void {
    this.#steps.run(() => this.#withdrawQuarantined());
  }

  #withdrawQuarantined(): void {
    const isSearching = !this.#settled && this.#search?.isUnderWay;
    if (this.#openAttempts.size === 0 && !isSearching) return;
    if (this.#content.mayBeSent) return;
    if (isSearching) this.#giveUpQuarantined();
    for (const { attempt, hasBegun } of this.#openAttempts.all())
      if (!hasBegun) attempt.withdraw('quarantined');
  }

  /** Ends the request after an internal error, so that the error affects only this request and not the process. */
  abandon(cause: unknown): void {
    this.#log.noteAbandoned(cause);
    if (this.#settled) return;
    const reason = 'internal error';
    if (this.#answer.started || this.#openAttempts.mayHaveRun)
      return this.#fail({ type: 'backEndFailed', reason });
    const retryAfter = retryAfterForOtherProcess(this.#components.random);
    this.#fail({ type: 'unavailable', reason, retryAfter });
  }

  /** Ends the request because the process exits: fails it with an error response, or cuts an answer that has begun. */
  stop(): void {
    this.#steps.run(() => this.#stop());
  }

  #stop(): void {
    if (this.#settled) return;
    if (!this.#answer.started) {
      if (this.#openAttempts.mayHaveRun) return this.#fail({ type: 'stopped' });
      this.#openAttempts.abortAll('stop');
      return this.#refuseForStop();
    }
    this.#end({ type: 'cut', reason: 'stop', isStop: true });
  }

  /** Checks the open attempts, and looks for a replacement if all are silent; called at each `CHECK_INTERVAL` of the server. */
  check(now: number, standstills: StallDetector): void {
    this.#steps.run(() => this.#check(now, standstills));
  }

  #check(now: number, standstills: StallDetector): void {
    if (this.#settled) return;
    if (this.#search?.isUnderWay) this.#search.check(now, standstills);
    for (const use of this.#openAttempts.all()) this.#watch.check(use, now, standstills);
    if (this.#settled) return;
    if (this.#move.isOverdue(now, this.#admitted.route.longestPause)) this.#endMove('late');
    if (this.#search.isUnderWay) return;
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
      // No further back end may run the request, so the open attempts are its last ones.
      if (this.#openAttempts.size === 0) this.#giveUp('attempts used up');
      return;
    }
    if (!this.#policy.maySendAgain) return this.#giveUp('no budget');
    this.#policy.allowOtherConnections();
    this.#policy.noteRepetition();
    this.#search.begin();
  }

  /** Looks for another engine for a stream whose engine is about to switch versions; the stream continues meanwhile. */
  #moveOffSwitchingEngine(now: number): void {
    if (this.#openAttempts.size !== 1 || now < this.#nextSearchAt) return;
    const [use] = this.#openAttempts.all();
    if (!this.#answer.isEventStream || !isInSwitch(use.row)) return;
    // Another engine must resume the stream with the same version, so the version must be known.
    if (this.#policy.version === undefined || !this.#policy.mayRunAgain) return;
    if (!this.#policy.maySendAgain) return this.#endSearch('no budget');
    this.#move.begin(use);
    this.#policy.noteRepetition();
    this.#search.begin();
  }

  /** Ends a move that has not succeeded; the original attempt continues, and its withheld events are forwarded. */
  #endMove(reason: string): void {
    if (!this.#move.isUnderWay) return;
    this.#nextSearchAt = performance.now() + SEARCH_INTERVAL;
    this.#components.moveMetrics.givenUp++;
    const source = this.#move.end();
    if (source === undefined) return;
    this.#log.note('move given up', { backEnd: source.row.record.id, reason });
    if (!this.#openAttempts.has(source) || !source.answer.hasBuffered) return;
    this.#selectAttempt(source);
    this.#answer.forward(source.answer, source.attempt);
  }

  /** Looks up route, service and tenant, and creates what depends on them; returns the reason if the request is rejected. */
  #admit(): RejectedRequest | undefined {
    const admission = admit(this.#request, this.arrivedAt, this.#components);
    if (!admission.ok) return admission.error;
    this.#admitted = admission.value;
    const { route, timing } = admission.value;
    this.#answer.patience = { deadline: timing.deadline, patience: route.patience };
    this.#policy = this.#createPolicy(admission.value);
    this.#search = this.#createSearch(admission.value);
    this.#watch = this.#createWatch(admission.value);
    this.#attempts = this.#createAttempts(admission.value);
    return undefined;
  }

  #createAttempts(admitted: AdmittedRequest): AttemptFactory {
    const request = {
      request: this.#request,
      id: this.#id,
      admitted,
      body: () => this.#body,
      lastEventId: () => this.#answer.lastEventId,
      mayGoOut: (row: BackEndRow, mustSend: boolean) => this.#policy.mayGoOut(row, mustSend),
    };
    return new AttemptFactory(this.#components, request, {
      onAnswer: (use, answer) => this.#steps.run(() => this.#onAnswer(use, answer)),
      onHead: (use, head) => this.#steps.run(() => this.#onHead(use, head)),
      onPart: (use) => this.#steps.run(() => this.#onPart(use)),
      onEnd: (use) => this.#steps.run(() => this.#onEnd(use)),
      onFailure: (use, failure) => this.#steps.run(() => this.#onFailure(use, failure)),
    });
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
      hasPart: () => this.#answer.started,
      isCallerBlocked: () => this.#answer.isBlocked,
      maySendAgain: () => this.#policy.maySendAgain,
      onSilentConnection: (row) => this.#policy.noteSilentConnection(row),
      onNote: (message, fields) => this.#log.note(message, fields),
    });
  }

  #createSearch({ route, timing, rank, promptTokens }: AdmittedRequest): BackEndSearch {
    const request: PendingRequest = {
      timing,
      isStream: route.isStream,
      promptTokens,
      rank,
      requirements: (isLastResort) => this.#policy.requirements(isLastResort),
      wasSent: () => this.#policy.sends > 0,
      isResuming: () => this.#answer.started,
      canComplete: () => this.#canComplete(),
      isAllowedByBudget: () => this.#policy.isAllowedByBudget,
      hasOpenAttempt: () => this.#openAttempts.size > 0,
    };
    return new BackEndSearch(this.#components, request, {
      onChosen: (selection, claim) => this.#send(selection, claim),
      onGivenUp: (reason) => this.#giveUp(reason),
      onOutOfTime: () => this.#refuseForStop(),
      onError: (cause) => this.abandon(cause),
      onNote: (message, fields) => {
        if (!this.#hasFailedSearch) this.#log.note(message, fields);
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
    // An open attempt at this back end is on a silent connection; the new attempt uses another connection.
    this.#openAttempts.abortAt(row, 'silent connection');
    this.#policy.noteSent(row);
    const { limits } = this.#components;
    const { backEnds, freshness } = this.#components.fleet;
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
      listAgeMs: Math.round(freshness.noteSend(performance.now())),
      listFrom: freshness.source,
      listRevision: backEnds.revision,
    });
    const use = this.#attempts.create(selection, claim);
    const { attempt } = use;
    this.#openAttempts.add(use);
    this.#move.noteSent(use);
    attempt.send(row.connections);
  }

  /**
   * If the request may not be sent, returns the function that ends it or its search. Otherwise charges the retry budget if
   * this send is a retry, and returns undefined.
   */
  #refusalBeforeSend(): (() => void) | undefined {
    if (!this.#canComplete()) return () => this.#refuseForStop();
    if (!this.#content.mayBeSent) return () => this.#giveUpQuarantined();
    return this.#policy.chargeBudget() ? undefined : () => this.#giveUp('no budget');
  }

  /** Whether the request may be sent before this process exits; an answer that has begun is resumed in any case. */
  #canComplete(): boolean {
    return this.#answer.started || this.#components.drain.canComplete(this.#admitted.timing.deadline);
  }

  /** Refuses a request that cannot complete before this process exits; another process can take it at once. */
  #refuseForStop(): void {
    if (this.#openAttempts.size > 0) return this.#endSearch('stop');
    const reason = 'stop';
    if (this.#openAttempts.runs > 0) return this.#fail({ type: 'backEndFailed', reason });
    this.#fail({
      type: 'unavailable',
      reason,
      retryAfter: retryAfterForOtherProcess(this.#components.random),
    });
  }

  /** Ends the search for a back end because the content of the request is quarantined; open attempts continue. */
  #giveUpQuarantined(): void {
    const reason = 'quarantined';
    if (this.#openAttempts.size > 0) return this.#endSearch(reason);
    if (this.#answer.started) return this.#cut(reason);
    if (this.#openAttempts.runs > 0) return this.#fail({ type: 'backEndFailed', reason });
    this.#refuseQuarantined(this.#content.retryAfter);
  }

  /** @param milliseconds - time until a request with this content may be tried again */
  #refuseQuarantined(milliseconds: number): void {
    const { fingerprints, parts } = this.#content.content;
    this.#log.note('quarantined', { fingerprint: fingerprints[0], parts });
    this.#fail({ type: 'quarantined', retryAfter: milliseconds / MILLISECONDS });
  }

  #onAnswer(use: BackEndUse, answer: AnswerSummary): void {
    this.#components.notices.apply(use, answer);
    this.#content.noteAnswering(use.row, use.attempt.startedAt);
  }

  #onHead(use: BackEndUse, head: AnswerHead): void {
    use.noteHead();
    use.answer.begin(head);
    if (this.#answer.started && !use.answer.isEventStream)
      return use.attempt.fail(`status ${head.status} without events to a stream that goes on`);
    this.#noteExpiredVersion(use);
  }

  #versionOf({ answer }: BackEndUse): number | undefined {
    const version = Number(answer.head?.headers[this.#components.names.servedVersion]);
    return version > 0 ? version : undefined;
  }

  /** Logs and counts an answer that begins on an expired version of the weights. */
  #noteExpiredVersion(use: BackEndUse): void {
    const version = this.#versionOf(use);
    if (version === undefined) return;
    const { selector, expiryFigures } = this.#components;
    const { engine } = use.assumedEngine;
    const timeSinceExpiry = selector.versions.timeSinceExpiry(engine, version, performance.now());
    if (!(timeSinceExpiry > 0)) return;
    expiryFigures.begunLate++;
    this.#log.noteExpiredVersion(use, { version, timeSinceExpiry, send: this.#policy.sends });
  }

  #onPart(use: BackEndUse): void {
    if (this.#move.withholds(use)) return;
    if (!this.#move.isSource(use)) this.#selectAttempt(use);
    this.#answer.forward(use.answer, use.attempt);
  }

  /** Selects `use` as the source of the answer; cancels the search and the other attempts, so that no event is sent twice. */
  #selectAttempt(use: BackEndUse): void {
    if (!this.#answer.started) this.#policy.version = this.#versionOf(use);
    if (this.#openAttempts.size === 1 && !this.#search.isUnderWay) return;
    const backEnds = [...this.#openAttempts.all()].map(({ row }) => row.record.id);
    this.#log.note('attempt selected', {
      backEnd: use.row.record.id,
      backEnds,
      after: this.#answer.lastEventId,
    });
    if (this.#move.end() !== undefined) this.#components.moveMetrics.moved++;
    this.#search.end('cancelled');
    this.#openAttempts.abortAll('another back end answers', use);
  }

  #onEnd(use: BackEndUse): void {
    if (use.answer.isBrokenOff)
      return this.#onFailure(use, { type: 'broken', reason: 'stream broken off', isLost: true });
    use.notePromptRead();
    const { status } = use.answer;
    if (status >= INTERNAL_ERROR && !this.#answer.started && this.#retryAfterError(use, `status ${status}`))
      return;
    this.#end({ type: 'answered', use });
  }

  /** Drops an error response if another attempt is active or the request may be sent again; returns false otherwise. */
  #retryAfterError(use: BackEndUse, reason: string): boolean {
    const hasActiveAttempt = this.#openAttempts.hasActiveBeside(use);
    if (!hasActiveAttempt && !this.#policy.maySendAgain) return false;
    this.#openAttempts.close(use, 'failed');
    this.#failedAnswer = use;
    this.#policy.noteRepetition();
    if (hasActiveAttempt || this.#search.isUnderWay) return true;
    this.#log.note('sent again', { reason, sends: this.#policy.sends });
    this.#search.begin();
    return true;
  }

  #onFailure(use: BackEndUse, failure: AttemptFailure): void {
    const { row } = use;
    this.#log.noteFailure(use, failure);
    if (failure.type === 'broken' && failure.isLost) this.#content.noteBroken(row);
    if (failure.type === 'notSent' && failure.reason === CONNECTION_REFUSED) this.#content.noteRefused(row);
    this.#openAttempts.close(use, healthOutcomeOf(failure));
    this.#policy.noteFailure(row, failure);
    if (this.#move.isSource(use) || !this.#search.isUnderWay) this.#endMove(failure.type);
    // Another attempt is open, or a search is in progress.
    if (this.#openAttempts.size > 0 || this.#search.isUnderWay) return;
    if (mayHaveReachedBackEnd(failure) && failure.type !== 'refused') return this.#onBroken(failure.reason);
    if (this.#policy.isExhausted) return this.#giveUp('back ends refuse');
    if (!this.#policy.isAllowedByBudget) return this.#giveUp('no budget');
    if (this.#body.type === 'streamed' && failure.type === 'refused') return this.#giveUp('body not kept');
    if (!this.#content.mayBeSent) return this.#giveUpQuarantined();
    this.#search.begin();
  }

  #onBroken(reason: string): void {
    if (this.#policy.maySendAgain) {
      this.#log.note('sent again', { reason, sends: this.#policy.sends, after: this.#answer.lastEventId });
      return this.#search.begin();
    }
    if (this.#answer.started) return this.#giveUp(reason);
    this.#fail(isTooLarge(this.#body) ? { type: 'bodyTooLarge' } : { type: 'backEndFailed', reason });
  }

  /** Called when no back end can take the request now: keeps waiting if that may still help, and otherwise ends it. */
  #giveUp(reason: string): void {
    if (this.#openAttempts.size > 0 && this.#mayWaitForSilent) return this.#endSearch(reason);
    if (this.#answer.started) return this.#canResumeLater() ? this.#endSearch(reason) : this.#cut(reason);
    if (this.#openAttempts.runs > 0) return this.#fail({ type: 'backEndFailed', reason });
    const { returns } = this.#components;
    this.#fail(returns.refuse(this.#admitted, this.#policy.requirements(), reason, this.#search.slotIn));
  }

  /** Whether to keep waiting for the silent back ends when no other one can take the request now. */
  get #mayWaitForSilent(): boolean {
    if (this.#answer.started) return true;
    if (this.#failedAnswer !== undefined && this.#openAttempts.areAllSilent) return false;
    return performance.now() < this.#admitted.timing.silentWaitDeadline;
  }

  /** Ends a search that found no replacement; the next one starts after `SEARCH_INTERVAL`. */
  #endSearch(reason: string): void {
    this.#search.end('unserved');
    this.#endMove(reason);
    if (!this.#hasFailedSearch) this.#log.note('no replacement found', { reason });
    this.#nextSearchAt = performance.now() + SEARCH_INTERVAL;
  }

  get #hasFailedSearch(): boolean {
    return this.#nextSearchAt !== Number.NEGATIVE_INFINITY;
  }

  /** Whether another back end may resume an answer that has begun before the caller loses patience. */
  #canResumeLater(): boolean {
    const { route, timing } = this.#admitted;
    const latest = latestStart(this.#answer.forwardedAt, timing.deadline, route.patience);
    if (performance.now() + SEARCH_INTERVAL > latest) return false;
    return (
      this.#policy.mayRunAgain && this.#components.selector.mayBecomeEligible(this.#policy.requirements())
    );
  }

  #onTimeout(): void {
    if (this.#settled) return;
    for (const use of this.#openAttempts.all()) this.#watch.noteTimeout(use);
    if (this.#answer.started) return this.#cut('timed out');
    this.#fail(this.#openAttempts.mayHaveRun ? { type: 'timedOut' } : { type: 'expired' });
  }

  /** The caller has closed its side of the connection, so it does not read what is still buffered for it either. */
  #onCallerHalfClosed(): void {
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
    this.#settled = true;
    this.#endSteps.run(() => this.#logEnding(ending));
    this.#endSteps.run(() => this.#closeAnswered(ending));
    this.#endSteps.run(() => this.#releaseResources(ending));
    this.#endSteps.run(() => this.#components.onSettled(this, ending, this.#log.age, this.#admitted));
    if (!this.#endSteps.run(() => this.#completeAnswer(ending)))
      this.#answer.fail(errorResponseOf({ type: 'backEndFailed', reason: 'internal error' }), {});
  }

  #completeAnswer(ending: RequestEnding): void {
    switch (ending.type) {
      case 'answered':
        return this.#answer.end(ending.use.answer);
      case 'failed':
        return this.#answer.fail(errorResponseOf(ending.error), this.#idHeader());
      case 'cut':
        return this.#answer.cut();
    }
  }

  /** Releases the timer, listeners, attempts, slots and wait of the request. */
  #releaseResources(ending: RequestEnding): void {
    clearTimeout(this.#timer);
    this.#request.socket.off('end', this.#onCallerEnded);
    this.#search?.end(holdOutcomeOf(ending));
    this.#openAttempts.abortAll(ending.type === 'left' ? 'caller left' : 'request ended');
    this.#content.noteEnded();
  }

  /** Closes the attempt that completed the answer, and records its outcome; an earlier failure has been recorded before. */
  #closeAnswered(ending: RequestEnding): void {
    if (ending.type !== 'answered') return;
    const { use } = ending;
    const isFailure = use.answer.status >= INTERNAL_ERROR;
    const isOpen = this.#openAttempts.has(use);
    const took = isOpen ? this.#openAttempts.close(use, isFailure ? 'failed' : 'served') : this.#log.age;
    this.#log.noteAnswered(use, took, this.#policy.version ?? this.#versionOf(use));
    if (isFailure) return;
    // A back end may reject a request without running it.
    if (use.answer.status < FIRST_ERROR_STATUS) this.#noteContentServed(use);
    use.noteServed(took);
  }

  #noteContentServed({ row, answer }: BackEndUse): void {
    if (answer.isDelimitedByClose) this.#content.noteEndedByClose(row);
    else this.#content.noteServed();
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
