// Draws docs/plots/*.svg from the JSON output of the benches.
// Usage: node scripts/plot.mjs THROUGHPUT.json RECOVERY.json
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import * as vega from 'vega';

const [throughputFile, recoveryFile] = process.argv.slice(2);
const FOLDER = 'docs/plots';
const WIDTH = 420;
const HEIGHT = 260;

const commonSpec = {
  $schema: 'https://vega.github.io/schema/vega/v5.json',
  width: WIDTH,
  height: HEIGHT,
  padding: 8,
  background: 'white',
};

async function draw(name, spec) {
  const view = new vega.View(vega.parse({ ...commonSpec, ...spec }), { renderer: 'none' });
  mkdirSync(FOLDER, { recursive: true });
  writeFileSync(`${FOLDER}/${name}.svg`, await view.toSVG());
}

function goodputOf(user, rows) {
  const grouped = new Map();
  for (const row of rows.filter((item) => item.user === user)) {
    const key = `${row.policy} ${row.load}`;
    const values = grouped.get(key) ?? { policy: row.policy, load: row.load, values: [] };
    values.values.push(row.goodput);
    grouped.set(key, values);
  }
  return [...grouped.values()].map(({ policy, load, values }) => ({
    policy,
    load,
    goodput: values.reduce((sum, value) => sum + value, 0) / values.length,
    low: Math.min(...values),
    high: Math.max(...values),
  }));
}

const goodputSpec = (user, values) => ({
  title: `Goodput by load, ${user}: mean and range over the seeds`,
  data: [{ name: 'rows', values }],
  scales: [
    { name: 'x', type: 'linear', domain: [0.4, 2.1], range: 'width' },
    { name: 'y', type: 'linear', domain: [0, 1.1], range: 'height' },
    {
      name: 'color',
      type: 'ordinal',
      domain: { data: 'rows', field: 'policy' },
      range: 'category',
    },
  ],
  axes: [
    { orient: 'bottom', scale: 'x', title: 'offered load / bound' },
    { orient: 'left', scale: 'y', title: 'goodput / bound', grid: true },
  ],
  legends: [{ stroke: 'color', title: 'policy' }],
  marks: [
    {
      type: 'group',
      from: { facet: { name: 'series', data: 'rows', groupby: 'policy' } },
      marks: [
        {
          type: 'line',
          from: { data: 'series' },
          encode: {
            enter: {
              x: { scale: 'x', field: 'load' },
              y: { scale: 'y', field: 'goodput' },
              stroke: { scale: 'color', field: 'policy' },
              strokeWidth: { value: 2 },
            },
          },
        },
        {
          type: 'rule',
          from: { data: 'series' },
          encode: {
            enter: {
              x: { scale: 'x', field: 'load' },
              y: { scale: 'y', field: 'low' },
              y2: { scale: 'y', field: 'high' },
              stroke: { scale: 'color', field: 'policy' },
            },
          },
        },
      ],
    },
  ],
});

const recoverySpec = (values) => ({
  title: 'Fault to next token of the same stream, p95 by seed',
  data: [{ name: 'rows', values }],
  scales: [
    {
      name: 'x',
      type: 'point',
      domain: { data: 'rows', field: 'fault' },
      range: 'width',
      padding: 0.5,
    },
    {
      name: 'y',
      type: 'linear',
      domain: { data: 'rows', field: 'nextTokenP95Ms' },
      range: 'height',
      zero: true,
      nice: true,
    },
    { name: 'color', type: 'ordinal', domain: { data: 'rows', field: 'user' }, range: 'category' },
  ],
  axes: [
    { orient: 'bottom', scale: 'x' },
    { orient: 'left', scale: 'y', title: 'ms', grid: true },
  ],
  legends: [{ fill: 'color', title: 'user' }],
  marks: [
    {
      type: 'symbol',
      from: { data: 'rows' },
      encode: {
        enter: {
          x: { scale: 'x', field: 'fault' },
          y: { scale: 'y', field: 'nextTokenP95Ms' },
          fill: { scale: 'color', field: 'user' },
          size: { value: 60 },
        },
      },
    },
  ],
});

const throughput = JSON.parse(readFileSync(throughputFile, 'utf8'));
for (const user of new Set(throughput.map((row) => row.user)))
  await draw(`goodput-${user}`, goodputSpec(user, goodputOf(user, throughput)));
await draw('recovery', recoverySpec(JSON.parse(readFileSync(recoveryFile, 'utf8'))));
