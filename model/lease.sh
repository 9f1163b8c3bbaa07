check lease pass -DEND=7
check lease fail -DNO_WAIT -DEND=6
check lease fail -DHOLD_AS_LONG -DEND=6
check lease fail -DFORGET_LEASED -DEND=6
