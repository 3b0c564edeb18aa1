//! The HTTP routes of the stand-in.

use super::{
    fault::{Fault, Outage},
    server::Platform,
    store::{Error, Store},
    watch,
};
use actix_web::{
    HttpRequest, HttpResponse,
    http::StatusCode,
    web::{self, Bytes, Data, Json},
};
use futures::{future, stream};
use gcl_core::store::Vm;
use gcl_store::gateway::{
    DeleteRequest, ErrorBody, LeaseRequest, NOT_FOUND, OUT_OF_RANGE, PutRequest,
    RESOURCE_EXHAUSTED, RangeRequest, StreamItem, TxnRequest, UNAVAILABLE, WatchRequest,
};
use serde::Serialize;
use std::{
    io,
    time::{Duration, Instant},
};

/// gRPC code of a malformed call.
const INVALID: u32 = 3;

/// Registers the routes.
pub fn routes(app: &mut web::ServiceConfig) {
    app.route("/v3/kv/range", web::post().to(range))
        .route("/v3/kv/put", web::post().to(put))
        .route("/v3/kv/deleterange", web::post().to(delete))
        .route("/v3/kv/txn", web::post().to(txn))
        .route("/v3/lease/grant", web::post().to(grant))
        .route("/v3/lease/keepalive", web::post().to(renew))
        .route("/v3/lease/revoke", web::post().to(revoke))
        .route("/v3/kv/lease/revoke", web::post().to(revoke))
        .route("/v3/watch", web::post().to(start_watch))
        .route("/vms", web::get().to(vms))
        .route("/standin/vms", web::post().to(set_vms))
        .route("/standin/fault", web::get().to(fault))
        .route("/standin/fault", web::post().to(set_fault))
        .route("/standin/compact", web::post().to(compact))
        .route("/standin/calls", web::get().to(calls));
}

type Shared = Data<Platform>;

async fn range(request: HttpRequest, shared: Shared, body: Json<RangeRequest>) -> HttpResponse {
    let stale = shared.fault().stale;
    read(&request, &shared, |store| store.range(&body, stale)).await
}

async fn put(request: HttpRequest, shared: Shared, body: Json<PutRequest>) -> HttpResponse {
    change(&request, &shared, |store| store.put(&body)).await
}

async fn delete(request: HttpRequest, shared: Shared, body: Json<DeleteRequest>) -> HttpResponse {
    change(&request, &shared, |store| Ok(store.delete(&body))).await
}

async fn txn(request: HttpRequest, shared: Shared, body: Json<TxnRequest>) -> HttpResponse {
    change(&request, &shared, |store| store.txn(&body)).await
}

async fn grant(request: HttpRequest, shared: Shared, body: Json<LeaseRequest>) -> HttpResponse {
    change(&request, &shared, |store| Ok(store.grant(*body, Instant::now()))).await
}

async fn renew(request: HttpRequest, shared: Shared, body: Json<LeaseRequest>) -> HttpResponse {
    let work = |store: &mut Store| Ok(StreamItem { result: store.renew(*body, Instant::now()) });
    change(&request, &shared, work).await
}

async fn revoke(request: HttpRequest, shared: Shared, body: Json<LeaseRequest>) -> HttpResponse {
    change(&request, &shared, |store| store.revoke(body.id.0)).await
}

async fn vms(request: HttpRequest, shared: Shared) -> HttpResponse {
    match begin_call(&request, &shared).await {
        Ok(()) => HttpResponse::Ok().json(shared.vms()),
        Err(response) => response,
    }
}

async fn start_watch(
    request: HttpRequest,
    shared: Shared,
    body: Json<WatchRequest>,
) -> HttpResponse {
    match begin_call(&request, &shared).await {
        Ok(()) => watch::respond(shared.get_ref().clone(), body.into_inner().create_request),
        Err(response) => response,
    }
}

async fn set_vms(shared: Shared, body: Json<Vec<Vm>>) -> HttpResponse {
    shared.set_vms(body.into_inner());
    HttpResponse::Ok().json(shared.vms())
}

async fn fault(shared: Shared) -> HttpResponse {
    HttpResponse::Ok().json(shared.fault())
}

async fn set_fault(shared: Shared, body: Json<Fault>) -> HttpResponse {
    shared.set_fault(body.into_inner());
    HttpResponse::Ok().json(shared.fault())
}

async fn compact(shared: Shared) -> HttpResponse {
    let first = shared.store(|store| {
        store.compact(store.revision());
        store.first()
    });
    HttpResponse::Ok().json(first)
}

async fn calls(shared: Shared) -> HttpResponse {
    HttpResponse::Ok().json(shared.calls())
}

/// Counts a call and applies the faults that precede its effect.
async fn begin_call(request: &HttpRequest, shared: &Platform) -> Result<(), HttpResponse> {
    let within = shared.count(request.path());
    let fault = shared.fault();
    match fault.outage {
        Some(Outage::Refuse) => {
            let code = StatusCode::SERVICE_UNAVAILABLE;
            return Err(refuse(code, UNAVAILABLE, "etcdserver: no leader"));
        }
        Some(Outage::Hang) => future::pending().await,
        None => {}
    }
    if !within {
        let code = StatusCode::TOO_MANY_REQUESTS;
        return Err(refuse(code, RESOURCE_EXHAUSTED, "etcdserver: too many requests"));
    }
    actix_web::rt::time::sleep(Duration::from_millis(fault.slow_ms)).await;
    Ok(())
}

async fn read<T: Serialize>(
    request: &HttpRequest,
    shared: &Platform,
    work: impl FnOnce(&mut Store) -> super::store::Result<T>,
) -> HttpResponse {
    match begin_call(request, shared).await {
        Ok(()) => respond(shared.store(work)),
        Err(response) => response,
    }
}

async fn change<T: Serialize>(
    request: &HttpRequest,
    shared: &Platform,
    work: impl FnOnce(&mut Store) -> super::store::Result<T>,
) -> HttpResponse {
    let response = read(request, shared, work).await;
    if response.status().is_success() && shared.drops_response() {
        broken_response()
    } else {
        response
    }
}

/// A response whose connection breaks before the body.
fn broken_response() -> HttpResponse {
    let broken = io::Error::from(io::ErrorKind::ConnectionReset);
    HttpResponse::Ok().streaming(stream::iter([Err::<Bytes, _>(broken)]))
}

fn respond<T: Serialize>(result: super::store::Result<T>) -> HttpResponse {
    match result {
        Ok(body) => HttpResponse::Ok().json(body),
        Err(Error::NoLease) => {
            let text = "etcdserver: requested lease not found";
            refuse(StatusCode::NOT_FOUND, NOT_FOUND, text)
        }
        Err(Error::Compacted) => {
            let text = "etcdserver: mvcc: required revision has been compacted";
            refuse(StatusCode::BAD_REQUEST, OUT_OF_RANGE, text)
        }
        Err(Error::Future) => {
            let text = "etcdserver: mvcc: required revision is a future revision";
            refuse(StatusCode::BAD_REQUEST, INVALID, text)
        }
        Err(Error::TooLarge) => {
            let text = "etcdserver: request is too large";
            refuse(StatusCode::BAD_REQUEST, INVALID, text)
        }
    }
}

fn refuse(status: StatusCode, code: u32, text: &str) -> HttpResponse {
    let refusal = ErrorBody { error: text.to_owned(), code, message: text.to_owned() };
    HttpResponse::build(status).json(refusal)
}
