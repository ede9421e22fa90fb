import type { Connection } from '../../src/protocol/connection.js';
import type { Message } from '../../src/protocol/messages.js';

/** A fake connection: sent messages are added to `sent`, and `receive` delivers a message to its handler. */
export function connectionTo(sent: Message[]) {
  let handler: (message: Message) => void = () => {};
  const connection = {
    send: (message: Message) => sent.push(message) > 0,
    handleMessages: (newHandler: (message: Message) => void) => {
      handler = newHandler;
    },
    onClose: () => {},
  };
  return { connection: connection as unknown as Connection, receive: (message: Message) => handler(message) };
}
