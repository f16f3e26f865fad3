//! Tests of the clients of the VM list and the weight store against their fakes.

use std::time::Duration;

use dragonflycart_core::ZoneName;
use dragonflycart_interfaces::{
    HttpVmDirectoryClient, HttpWeightStoreClient, VmDirectory, VmEntry, VmState, WeightStore,
    WeightStoreError,
};
use dragonflycart_testkit::{
    DirectoryConfig, FakeDirectory, FakeWeights, FaultCommand, WeightConfig,
};

use crate::fixtures::{model, version};

/// Guards against changes of the VM list that are visible at once in tests, which the platform does
/// not guarantee.
#[tokio::test]
async fn the_vm_list_lags() {
    let fake =
        FakeDirectory::start(DirectoryConfig { lag_ms: 300, ..Default::default() }).await.unwrap();
    let directory = HttpVmDirectoryClient::new(fake.address());
    let entry = VmEntry {
        address: "127.0.0.1:9".parse().unwrap(),
        zone: ZoneName::new("dobele").unwrap(),
        state: VmState::Leaving,
    };
    fake.replace(vec![entry.clone()]);
    assert_eq!(directory.list().await, Ok(Vec::new()));
    tokio::time::sleep(Duration::from_millis(350)).await;
    assert_eq!(directory.list().await, Ok(vec![entry]));
    fake.close().await;
}

/// Guards against a load that starts without permission from the weight store, and against a dead
/// store that is taken for a rate limit.
#[tokio::test]
async fn the_weight_store_limits_loads() {
    let fake = FakeWeights::start(WeightConfig { loads_per_second: 1.0 }).await.unwrap();
    let weights = HttpWeightStoreClient::new(fake.address());
    assert_eq!(weights.begin_load(&model(), &version("v1")).await, Ok(()));
    let refused = weights.begin_load(&model(), &version("v2")).await;
    assert!(matches!(refused, Err(WeightStoreError::RateLimited { .. })), "{refused:?}");
    fake.fault(&FaultCommand::Die);
    let dead = weights.begin_load(&model(), &version("v3")).await;
    assert_eq!(dead, Err(WeightStoreError::Unavailable));
    assert_eq!(fake.stats().begun.len(), 1);
    fake.close().await;
}
