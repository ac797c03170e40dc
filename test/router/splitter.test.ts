import { EventSplitter } from '../../src/core/stream/splitter';

const event = (id: number): string => `id: ${id}\ndata: token ${id}\n\n`;

describe('the event splitter', () => {
  test('returns whole events only, whatever the chunks', () => {
    const splitter = new EventSplitter();
    const text = event(1) + event(2);
    const events = [...text].flatMap((char) => splitter.push(Buffer.from(char)));
    expect(events.map(({ bytes }) => bytes.toString()).join('')).toBe(text);
    expect(events.map(({ id }) => id)).toEqual(['1', '2']);
  });

  test('accepts lines that end with a carriage return and a line feed', () => {
    const splitter = new EventSplitter();
    const text = event(1).replaceAll('\n', '\r\n');
    const events = [...text].flatMap((char) => splitter.push(Buffer.from(char)));
    expect(events.map(({ id }) => id)).toEqual(['1']);
    expect(Buffer.concat([...events.map(({ bytes }) => bytes), splitter.rest]).toString()).toBe(
      text,
    );
  });
});
