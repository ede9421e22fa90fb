/**
 * The platform's transactional table service. Every committed transaction has a revision, one greater than
 * the one before; each row carries the revision that wrote it.
 *
 * @example
 * ```ts
 * const outcome = await tables.transact({ operationId, conditions: [], writes: [{ table, key, value }] }, signal);
 * ```
 */
import type { Result } from '../model/result.js';
import type { PlatformError } from './errors.js';
import { callHttp, parseJson } from './http.js';

/** Requires that a row has a certain revision; 0 requires that there is none. */
export interface RowCondition {
  table: string;
  key: string;
  revision: number;
}

/** Writes a row, or deletes it where `value` is null. */
export interface RowWrite {
  table: string;
  key: string;
  value: unknown;
}

/** All of the writes, or none of them. */
export interface Transaction {
  /** Chosen by the caller; the same operation commits once. */
  operationId: string;
  conditions: RowCondition[];
  writes: RowWrite[];
}

/** A row as it stands. */
export interface Row {
  table: string;
  key: string;
  /** Null in a list of changes where the row was deleted. */
  value: unknown;
  revision: number;
}

/** What became of a transaction. */
export type TransactionOutcome =
  | { type: 'committed'; revision: number }
  | { type: 'conflict'; rows: Array<{ table: string; key: string; revision: number }> };

/** Rows changed since a revision. */
export interface Changes {
  /** The revision up to which the list goes. */
  revision: number;
  rows: Row[];
}

/** The table service. */
export interface TableService {
  transact(transaction: Transaction, signal: AbortSignal): Promise<Result<TransactionOutcome, PlatformError>>;
  /** The rows changed after `since`; with 0 all rows. */
  changes(since: number, signal: AbortSignal): Promise<Result<Changes, PlatformError>>;
}

const SERVICE = 'tableService';

/** Creates a client of the table service at `url`. */
export function httpTableService(url: string): TableService {
  return {
    async transact(transaction, signal) {
      const target = `${url}/transactions`;
      const answer = await callHttp({
        service: SERVICE,
        method: 'POST',
        url: target,
        json: transaction,
        signal,
      });
      if (!answer.ok) return answer;
      return parseJson<TransactionOutcome>(SERVICE, answer.value);
    },
    async changes(since, signal) {
      const target = `${url}/changes?since=${since}`;
      const answer = await callHttp({ service: SERVICE, method: 'GET', url: target, signal });
      if (!answer.ok) return answer;
      return parseJson<Changes>(SERVICE, answer.value);
    },
  };
}
