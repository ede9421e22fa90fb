/** The stand-in for a plain service: every path answers after a while; `GET /audit` tells what truly ran. */
import type { Startable } from '../../src/model/startable.js';
import { createApplication, delay, httpServer, readBody } from '../../src/server/http-server.js';
import type { ServiceEmulatorSettings } from '../../src/settings/schemas.js';
import { Shedder } from '../shedder.js';

/** One run of a call. */
export interface ServiceRun {
  method: string;
  path: string;
  /** The caller's idempotency key, or empty. */
  key: string;
  /** When it began, in milliseconds since 1970. */
  at: number;
}

/** Creates the stand-in. */
export function serviceEmulator(settings: ServiceEmulatorSettings): Startable {
  const runs: ServiceRun[] = [];
  const shedder = new Shedder(settings);
  const app = createApplication();
  app.use(async (context) => {
    if (context.path === '/audit') {
      context.body = { runs, refused: shedder.refused };
      return;
    }
    const body = await readBody(context);
    if (shedder.refuses(context)) return;
    const run = {
      method: context.method,
      path: context.path,
      key: context.get('idempotency-key'),
      at: Date.now(),
    };
    runs.push(run);
    await delay(settings.callMilliseconds);
    context.body = { ...run, run: runs.length, received: body.toString('utf8') };
  });
  return httpServer(settings.listen, app.callback());
}
