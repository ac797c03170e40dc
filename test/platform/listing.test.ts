import { Listing } from '../../src/platform/listing';

const position = { era: 0, revision: 7 };

/** The calls of a list, each as text, if its ranges have a number of pages each. */
function callsOf(last: string | undefined, pagesByPrefix: Readonly<Record<string, number>> = {}) {
  const listing = new Listing(0, position, last);
  const left = { ...pagesByPrefix };
  const calls: string[] = [];
  for (let call = listing.next; call; call = listing.next) {
    if (call.kind === 'key') {
      calls.push(call.key);
      listing.advance(undefined);
    } else {
      const { prefix, after } = call;
      calls.push(`${prefix}* after '${after}'`);
      left[prefix] = (left[prefix] ?? 1) - 1;
      listing.advance(left[prefix] === 0 ? undefined : `${prefix}${left[prefix]}`);
    }
  }
  return calls;
}

describe('a list of the store', () => {
  test('of one page takes no further call', () => {
    expect(callsOf(undefined)).toMatchInlineSnapshot(`[]`);
  });

  test('takes one call for each further page of the runners, as in a large fleet', () => {
    expect(callsOf('servers/i-3', { 'servers/': 2 })).toMatchInlineSnapshot(`
     [
       "servers/* after 'servers/i-3'",
       "servers/* after 'servers/1'",
     ]
    `);
  });

  // Guards against VMs that read thousands of pages of other writers before those of runners.
  test('reads the used entries only, one page of each prefix in turn', () => {
    const pages = { 'servers/': 3, 'goldcrestdock/vms/': 2 };
    expect(callsOf('a/0001', pages)).toMatchInlineSnapshot(`
     [
       "goldcrestdock/served",
       "op/config",
       "goldcrestdock/fleet",
       "servers/* after ''",
       "goldcrestdock/vms/* after ''",
       "goldcrestdock/suspects/* after ''",
       "servers/* after 'servers/2'",
       "goldcrestdock/vms/* after 'goldcrestdock/vms/1'",
       "servers/* after 'servers/1'",
     ]
    `);
  });

  test('leaves out the prefixes and keys that the first page has passed', () => {
    expect(
      ['goldcrestdock/suspects/b', 'goldcrestdock/vms/b', 'op/config', 'other/1', 'servers0'].map(
        (last) => callsOf(last),
      ),
    ).toMatchInlineSnapshot(`
     [
       [
         "op/config",
         "servers/* after ''",
         "goldcrestdock/vms/* after ''",
         "goldcrestdock/suspects/* after 'goldcrestdock/suspects/b'",
       ],
       [
         "op/config",
         "servers/* after ''",
         "goldcrestdock/vms/* after 'goldcrestdock/vms/b'",
       ],
       [
         "servers/* after ''",
       ],
       [
         "servers/* after ''",
       ],
       [],
     ]
    `);
  });
});
