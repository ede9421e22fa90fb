/**
 * The platform's transactional table service. Every committed transaction increases the revision by one; each row
 * carries the revision of the transaction that wrote it.
 *
 * @example
 * ```ts
 * const outcome = await tables.transact({ operationId, conditions: [], writes: [{ table, key, value }] }, signal);
 * ```
 */
import type { Result } from '../model/result.js';
import type { PlatformError } from './errors.js';
import { callHttp, parseJson } from './http.js';

/** Requires that a row has the given revision; 0 requires that the row does not exist. */
export interface RowCondition {
  table: string;
  key: string;
  revision: number;
}

/** Writes a row, or deletes it if `value` is null. */
export interface RowWrite {
  table: string;
  key: string;
  value: unknown;
}

/** Writes that are committed atomically if all conditions hold. */
export interface Transaction {
  /** Idempotency key chosen by the caller: transactions with the same key are committed at most once. */
  operationId: string;
  conditions: RowCondition[];
  writes: RowWrite[];
}

/** A row of a table. */
export interface Row {
  table: string;
  key: string;
  /** In a list of changes, null if the row was deleted. */
  value: unknown;
  revision: number;
}

/** Outcome of a transaction. */
export type TransactionOutcome =
  | { type: 'committed'; revision: number }
  | { type: 'conflict'; rows: Array<{ table: string; key: string; revision: number }> };

/** The rows that changed after a revision. */
export interface Changes {
  /** Revision up to which the list is complete. */
  revision: number;
  rows: Row[];
}

/** Client interface of the table service. */
export interface TableService {
  transact(transaction: Transaction, signal: AbortSignal): Promise<Result<TransactionOutcome, PlatformError>>;
  /** Lists the rows that changed after `since`; 0 lists all rows. */
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
