import { quotaFaults } from '../fakes/virtual/quotaflood';
import { describeFloods } from '../fakes/virtual/quotafloodsuite';

const name = 'half of the VMs are killed';

describeFloods([
  [name, 8, 1, quotaFaults.halfKilled],
  [name, 8, 2, quotaFaults.halfKilled],
  [name, 66, 1, quotaFaults.halfKilled],
  [name, 66, 2, quotaFaults.halfKilled],
  [name, 200, 2, quotaFaults.halfKilled],
]);
