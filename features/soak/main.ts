/**
 * Runs the soak with a series of seeds from the command line:
 * `npm run soak:processes -- --seeds 50 --first 1`.
 */
import { Cli, Command, Option } from 'clipanion';
import { soakProcesses } from './Soak.js';

class SoakCommand extends Command {
  public seeds = Option.String('--seeds', '1', { description: 'number of seeds' });

  public first = Option.String('--first', '1', { description: 'first seed' });

  public instances = Option.String('--instances', '4', {
    description: 'number of router instances',
  });

  public callers = Option.String('--callers', '12', { description: 'number of callers' });

  public seconds = Option.String('--seconds', '12', {
    description: 'seconds during which faults begin',
  });

  public crashingPart = Option.Boolean('--crashing-part', false, {
    description: 'some requests have a prompt part under which engine servers crash',
  });

  public serverNotices = Option.Boolean('--server-notices', false, {
    description: 'servers say in their answers that they are leaving, and ask for pauses',
  });

  public silentServers = Option.Boolean('--silent-servers', false, {
    description: 'sound servers fall silent and are full, beside planned work in series',
  });

  public async execute(): Promise<number> {
    let failed = 0;
    const first = Number(this.first);
    for (let seed = first; seed < first + Number(this.seeds); seed += 1) {
      const result = await soakProcesses({
        seed,
        instances: Number(this.instances),
        callers: Number(this.callers),
        faultsMs: Number(this.seconds) * 1000,
        hasCrashingPart: this.crashingPart,
        hasServerNotices: this.serverNotices,
        hasSilentServers: this.silentServers,
      });
      const { attempts, served, requestsInSilence, faults, violations } = result;
      this.context.stdout.write(
        `seed ${seed}: ${attempts} requests, ${served} served, ${requestsInSilence} in silences, ` +
          `${faults.length} faults, ${violations.length} violations\n`,
      );
      if (violations.length === 0) continue;
      failed += 1;
      for (const line of [...faults, ...violations]) this.context.stdout.write(`  ${line}\n`);
    }
    return failed === 0 ? 0 : 1;
  }
}

const cli = new Cli({ binaryLabel: 'process soak', binaryName: 'soak:processes' });
cli.register(SoakCommand);
process.exit(await cli.run(process.argv.slice(2)));
