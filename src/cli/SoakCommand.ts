import { Command, Option } from 'clipanion';
import { replay, soak, type GeneratedRun } from '../fakes/soak/SoakRun.js';
import { table } from './Table.js';

export class SoakCommand extends Command {
  public static override paths = [['soak']];

  public static override usage = Command.Usage({
    description:
      'Injects random combinations of faults into a small fleet in virtual time and checks the invariants.',
    examples: [['Two thousand runs', 'acaciadrum soak --seed 1 --runs 2000']],
  });

  public seed = Option.String('--seed', '1', { description: 'Seed of the first run.' });

  public runs = Option.String('--runs', '200', { description: 'Number of runs.' });

  public replay = Option.String('--replay', '', {
    description: 'Repeat the one run that a failure printed, as JSON.',
  });

  public json = Option.Boolean('--json', false, { description: 'Print JSON for programs.' });

  public async execute(): Promise<number> {
    const report =
      this.replay === ''
        ? await soak(Number(this.seed), Number(this.runs))
        : await replay(JSON.parse(this.replay) as GeneratedRun);
    if (this.json) this.context.stdout.write(`${JSON.stringify(report)}\n`);
    else {
      const { faults, checks, outcomes, ...rest } = report;
      const rows = (counts: object) => Object.entries(counts).sort(([a], [b]) => (a < b ? -1 : 1));
      this.context.stdout.write(
        [
          table(['RUN', ''], rows(rest)),
          table(['OUTCOME', 'COUNT'], rows(outcomes)),
          table(['FAULT', 'COUNT'], rows(faults)),
          table(['INVARIANT', 'CHECKS'], rows(checks)),
        ].join('\n'),
      );
    }
    return report.failure === '' && report.violations === 0 ? 0 : 1;
  }
}
