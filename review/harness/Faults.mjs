/** Answers of faulty servers, and when servers give them. */

/** Doses of `garble` that the sheet of shamshyrak-lanterns names at most: share of servers, time; one answer in how many. */
export const FAULTY_SHARE = 0.6;
export const FAULTY_MS = 5500;
export const SPOILT_ONE_IN = 34;

/**
 * Returns a function that tells of each answer whether it is to be spoilt.
 * @param isFaulty - whether the server is faulty now
 */
export function createSpoiler(isFaulty) {
  let answers = 0;
  return () => {
    if (!isFaulty()) return false;
    answers += 1;
    return answers % SPOILT_ONE_IN === 0;
  };
}

/**
 * Returns the head of a sound answer with one byte changed: the hyphen of `content-type` is a space, so that the
 * bytes are no response in HTTP/1.1.
 */
export function spoiltHead({ id, server, contentType, framing }) {
  return (
    `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-server-seal: seal.${server.id}.${id}\r\n` +
    `content type: ${contentType}\r\n${framing}\r\n\r\n`
  );
}

/** Returns one chunk of a chunked body. */
export function chunkOf(text) {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/**
 * Returns a server's own failure, a 500 after a run, with one byte changed: its status reads 503. As it is the answer to
 * a request that ran, it does not say that it was not executed.
 */
export function spoiltFailure({ id, server, body }) {
  return (
    `HTTP/1.1 503 Internal Server Error\r\nx-attempt-id: ${id}\r\nx-server-seal: seal.${server.id}.${id}\r\n` +
    `content-length: ${body.length}\r\n\r\n${body}`
  );
}
