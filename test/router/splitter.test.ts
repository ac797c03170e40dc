import { EventSplitter } from '../../src/core/stream/splitter';

const event = (id: number): string => `id: ${id}\ndata: token ${id}\n\n`;

describe('the event splitter', () => {
  test('gives whole events only, whatever the chunks', () => {
    const splitter = new EventSplitter();
    const text = event(1) + event(2);
    const out = [...text].map((char) => splitter.push(Buffer.from(char)).toString()).join('');
    expect(out).toBe(text);
    expect([splitter.events, splitter.lastId]).toEqual([2, '2']);
  });

  /*
   * A runner crashes in the middle of an event; the stream goes on at another
   * runner after the last whole event. The caller must not see the torn half
   * before the second runner's first event: its answer would be of two runs.
   */
  test('forgets a torn event when the stream goes on at another runner', () => {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from(`${event(1)}id: 2\ndata: to`));
    splitter.restart();
    expect(splitter.push(Buffer.from(event(2))).toString()).toBe(event(2));
    expect(splitter.lastId).toBe('2');
  });
});
