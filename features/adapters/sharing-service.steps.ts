import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { SharingService, type SharingHandler } from '../../src/adapters/grpc/SharingService.js';
import { WorkScope, type PeerDigest } from '../../src/core/peers/Types.js';
import { freeAddress } from '../platform/Ports.js';

interface SharingServiceWorld {
  service: SharingService;
  peer: SharingService;
  address: string;
  reported: Error[];
  rejected: number;
}

const DIGEST: PeerDigest = {
  from: { instance: 'peer', address: '', failureDomain: 'a', incarnation: 1, capacity: 0 },
  leaving: false,
  ticket: 0,
  work: { scope: WorkScope.Instance, instances: 1, shares: [], retries: [] },
  changes: { from: 0, to: 0 },
  records: [],
  peers: [],
};

function handlerOf(reported: Error[]): SharingHandler {
  return {
    receiveDigest: () => {
      throw new TypeError('The digest has no work report.');
    },
    updateSince: () => undefined,
    handleFailure: (error) => reported.push(error),
  };
}

Given('a sharing service that cannot apply digests', async function set(this: SharingServiceWorld) {
  this.reported = [];
  this.rejected = 0;
  this.address = await freeAddress();
  this.service = new SharingService(handlerOf(this.reported));
  await this.service.listen(this.address);
  this.peer = new SharingService(handlerOf([]));
});

When('a peer sends it {int} digests', async function run(this: SharingServiceWorld, count: number) {
  for (let sent = 0; sent < count; sent += 1) {
    try {
      await this.peer.send(this.address, DIGEST);
    } catch {
      this.rejected += 1;
    }
  }
});

Then(
  'both are rejected, and the service has reported {int} failures',
  function check(this: SharingServiceWorld, failures: number) {
    assert.equal(this.rejected, failures);
    assert.equal(this.reported.length, failures);
  },
);

After(function stop(this: SharingServiceWorld) {
  this.peer?.dispose();
  this.service?.dispose();
});
