/** The models that `npm run models` and features/proof check. */
import type { Model } from './Checker.js';
import { attemptModel } from './AttemptModel.js';
import { claimModel } from './ClaimModel.js';
import { checkedLeaseModel, uncheckedLeaseModel } from './LeaseModel.js';
import { propagationModel } from './PropagationModel.js';
import { streamModel } from './StreamModel.js';
import { ticketCommitModel } from './TicketCommitModel.js';

export const MODELS = [
  ticketCommitModel,
  claimModel,
  checkedLeaseModel,
  uncheckedLeaseModel,
  streamModel,
  propagationModel,
  attemptModel,
] as unknown as readonly Model<object>[];
