/** Guards against lists of prompt parts that cost unbounded work or memory, or that hide a part. */
import { describe, expect, it } from 'vitest';
import { promptPartsOf } from '../../src/forwarding/prompt-parts.js';

const SERVICE = 'engines';
const MAX_PARTS = 32;
/** Above the largest header that an entry accepts, in bytes. */
const HUGE = 100_000;
const idsOf = (header: string | undefined) =>
  promptPartsOf(header, SERVICE).map((part) => part.split('@')[0]);

describe('the prompt parts of a request', () => {
  it.each<[string, string | undefined, string[]]>([
    ['no list', undefined, []],
    ['an empty list', '', []],
    ['the last part alone', '5c1e:800', []],
    ['all but the last part', '5c1e:800,91bd:410,e440:250', ['5c1e', '91bd']],
    ['each part once', 'aa:1,bb:1,aa:1,aa:2,cc:1', ['aa', 'bb']],
    ['ids in any case, with blanks', ' AA : 1 , bb:2,cc:3', ['aa', 'bb']],
    ['parts without a valid number of tokens', 'aa:x,bb,cc:1', ['aa', 'bb']],
    ['not what is no id', 'zz:1,:5,,aa:1,  :,"a":1,cc:1', ['aa']],
    ['a header that was repeated', 'aa:1,bb:1, aa:1,bb:1', ['aa', 'bb']],
  ])('are those that several requests may share: %s', (_what, header, ids) => {
    expect(idsOf(header)).toEqual(ids);
  });

  it('are those of one service', () => {
    expect(promptPartsOf('aa:1,bb:1', 'one')).not.toEqual(promptPartsOf('aa:1,bb:1', 'two'));
  });

  it('are bounded in number', () => {
    const header = Array.from({ length: HUGE / 10 }, (_, index) => `${index.toString(16)}:1`).join(',');
    expect(idsOf(header).length).toBe(MAX_PARTS);
  });

  it('include the last of the considered ones if more follow', () => {
    const header = Array.from({ length: MAX_PARTS + 1 }, (_, index) => `${(index + 1).toString(16)}:1`).join(
      ',',
    );
    expect(idsOf(header).at(-1)).toBe(MAX_PARTS.toString(16));
  });

  it('are bounded in length, and long ones remain distinct', () => {
    const [one, two] = idsOf(`${'a'.repeat(HUGE)}:1,${'a'.repeat(HUGE)}b:1,cc:1`);
    expect(one.length).toBeLessThanOrEqual(32);
    expect(one).not.toBe(two);
  });

  it.each(['0', ' ', ':', ',', 'a', '\t', 'a:', '0,'])('are read in linear time (%j repeated)', (text) => {
    const header = text.repeat(HUGE / text.length);
    const from = performance.now();
    for (let round = 0; round < 10; round++) promptPartsOf(header, SERVICE);
    expect(performance.now() - from).toBeLessThan(2_000);
  });
});
